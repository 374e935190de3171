/** The HTTP faces towards callers, the upstream and operators. */
package io.cranberryarch.node.http;
