package io.cranberryarch.context;

/**
 * Where a node of the fleet is found.
 *
 * @param node the name of the node
 * @param zone its availability zone
 * @param address its address for other nodes, host and port
 */
public record PeerInfo(String node, String zone, String address) {}
