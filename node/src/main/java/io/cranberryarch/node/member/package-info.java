/** Membership of the fleet: its exchange between nodes, and the selection of instances for calls. */
package io.cranberryarch.node.member;
