/** Length-prefixed MessagePack frames exchanged between nodes, and the messages that they carry. */
package io.cranberryarch.wire;
