/** Authenticated connections between nodes. */
package io.cranberryarch.node.peer;
