/** Length-prefixed MessagePack frames between nodes, and the messages in them. */
package io.cranberryarch.wire;
