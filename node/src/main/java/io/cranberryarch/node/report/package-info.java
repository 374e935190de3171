/** Counting of outcomes and delivery of the counts to the object store. */
package io.cranberryarch.node.report;
