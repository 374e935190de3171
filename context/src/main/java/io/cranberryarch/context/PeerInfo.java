package io.cranberryarch.context;

/**
 * The location of a node of the fleet.
 *
 * @param node the name of the node
 * @param zone the availability zone of the node
 * @param address the address of the node for other nodes, host and port
 */
public record PeerInfo(String node, String zone, String address) {}
