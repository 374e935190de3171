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
 * @param inFlight the number of calls that run or wait at the gate
 * @param limit the maximum number of calls that the gate admits concurrently
 * @param members the known members
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
     * A member in the node's view of the fleet.
     *
     * @param instance the name of the instance
     * @param zone the availability zone
     * @param service the service of its upstream
     * @param state the state of the member
     * @param address the address to which other nodes connect
     */
    public record MemberBody(String instance, String zone, String service, String state, String address) {}
}
