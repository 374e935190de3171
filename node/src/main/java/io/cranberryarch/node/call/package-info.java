/** Processing of a call from an entry to an upstream: routing, admission and execution. */
package io.cranberryarch.node.call;
