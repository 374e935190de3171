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
 * @param service the service of the upstream beside the node
 * @param slots requests that the upstream runs at once at most
 * @param host the address that all ports are bound to and announced with
 * @param entryPort the port for callers, 0 to let the system choose
 * @param localPort the port for the upstream's own calls and announcements, 0 to let the system choose
 * @param peerPort the port for other nodes, 0 to let the system choose
 * @param adminPort the port for operators and scrapers, 0 to let the system choose
 * @param platform the address of the platform's store
 * @param platformTimeoutMs the longest wait for the store in milliseconds
 * @param upstream the address of the upstream
 * @param fleetSecret the secret that all nodes of the fleet share
 * @param zones all availability zones of the fleet
 * @param seeds addresses of peers to contact first
 * @param ownerTokenSha256 SHA-256 of the owner's token in hexadecimal
 * @param maxBodyBytes the largest body of a request or an answer
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
