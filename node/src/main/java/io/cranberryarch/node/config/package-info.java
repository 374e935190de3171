/** The shared settings in force at this node. */
package io.cranberryarch.node.config;
