package io.cranberryarch.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;

/**
 * The settings of one node process, read from its INI file.
 *
 * @param instance the name of the instance, unique in the fleet
 * @param zone the availability zone
 * @param service the service of the upstream on the node's machine
 * @param slots the maximum number of requests that the upstream runs concurrently
 * @param host the address to which all ports are bound, and which is announced to other nodes
 * @param entryPort the port for callers, 0 to let the system choose
 * @param localPort the port for nested calls and announcements of the upstream, 0 to let the system choose
 * @param peerPort the port for other nodes, 0 to let the system choose
 * @param adminPort the port for operators and for the collection of metrics, 0 to let the system choose
 * @param platform the address of the platform's store
 * @param platformTimeoutMs the maximum time to wait for the store, in milliseconds
 * @param upstream the address of the upstream
 * @param fleetSecret the secret shared by all nodes of the fleet
 * @param zones all availability zones of the fleet, copied
 * @param seeds the addresses of the peers to contact first, may be empty, copied
 * @param ownerTokenSha256 SHA-256 of the owner's token in hexadecimal, or empty if there is none
 * @param maxBodyBytes the maximum size of the body of a request or an answer, in bytes
 * @param logLevel the least severe level that is logged
 */
public record NodeConfig(
        String instance,
        String zone,
        String service,
        int slots,
        String host,
        int entryPort,
        int localPort,
        int peerPort,
        int adminPort,
        URI platform,
        int platformTimeoutMs,
        URI upstream,
        String fleetSecret,
        List<String> zones,
        List<InetSocketAddress> seeds,
        Optional<String> ownerTokenSha256,
        int maxBodyBytes,
        String logLevel) {

    /** Copies the lists. */
    public NodeConfig {
        zones = List.copyOf(zones);
        seeds = List.copyOf(seeds);
    }
}
