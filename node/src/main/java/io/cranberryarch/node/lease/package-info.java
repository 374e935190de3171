/** Leases of this node in the platform's table. */
package io.cranberryarch.node.lease;
