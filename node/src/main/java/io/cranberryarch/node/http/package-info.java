/** HTTP interfaces of a node for callers, the upstream and operators. */
package io.cranberryarch.node.http;
