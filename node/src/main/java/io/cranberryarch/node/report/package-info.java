/** Counts of outcomes on their way to the object store. */
package io.cranberryarch.node.report;
