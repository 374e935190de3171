package io.cranberryarch.api;

import java.util.List;

/**
 * The state of a node.
 *
 * @param instance the name of the instance
 * @param incarnation the incarnation of the process
 * @param zone the availability zone
 * @param service the service of its upstream
 * @param state the state of the node
 * @param settingsVersion the version of the settings in force
 * @param platformReachable whether the last contact with the platform succeeded
 * @param inFlight calls that run or wait at the gate
 * @param limit calls that the gate admits at once
 * @param members the members known
 */
public record StatusBody(
        String instance,
        long incarnation,
        String zone,
        String service,
        String state,
        long settingsVersion,
        boolean platformReachable,
        int inFlight,
        int limit,
        List<MemberBody> members) {

    /**
     * A member known to the node.
     *
     * @param instance the name of the instance
     * @param zone the availability zone
     * @param service the service of its upstream
     * @param state its state
     * @param address the address for other nodes
     */
    public record MemberBody(String instance, String zone, String service, String state, String address) {}
}
