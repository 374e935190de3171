/** Shared settings in effect at this node. */
package io.cranberryarch.node.config;
