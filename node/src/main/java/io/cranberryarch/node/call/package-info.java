/** The way of a call from an entry to an upstream. */
package io.cranberryarch.node.call;
