package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.decision.serving.InstanceLoad;
import io.cranberryarch.decision.serving.InstanceSelector;
import io.cranberryarch.wire.PeerStatusMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Holds the state of another node, or of this node as a candidate for running requests. */
final class Peer implements InstanceSelector.Candidate {

    private PeerInfo info;
    private InstanceLoad load = new InstanceLoad();
    private Optional<PeerLink> link = Optional.empty();
    private PeerStatusMessage.Upstream upstream = PeerStatusMessage.Upstream.UNKNOWN;
    private PeerStatusMessage.Upstream knownUpstream = PeerStatusMessage.Upstream.UNKNOWN;
    private boolean isAccepting;
    private long rulesVersion = -1;
    private final Map<String, Double> workDemand = new HashMap<>();
    private boolean isPermanentShutdown;
    private boolean isDialing;
    private long backoffMs;
    private long lostAtMs;

    Peer(PeerInfo info) {
        this.info = info;
    }

    @Override
    public InstanceLoad getLoad() {
        return load;
    }

    /** Applies a status and returns whether the upstream changed. */
    boolean onStatus(PeerStatusMessage status, long nowMs) {
        PeerStatusMessage.Upstream reported = status.upstream().orElse(upstream);
        boolean isSameInstance = upstream.instance().equals(reported.instance());
        boolean isChanged = !isSameInstance
                || !upstream.service().equals(reported.service())
                || isAccepting != status.isAccepting();
        if (!isSameInstance) {
            load = new InstanceLoad();
        }
        upstream = reported;
        if (!reported.instance().isEmpty()) {
            knownUpstream = mergeKnown(reported);
        }
        isAccepting = status.isAccepting();
        rulesVersion = Math.max(rulesVersion, status.rulesVersion());
        load.onReport(status.limit(), status.inFlight(), status.upstreamFailureRatio());
        if (status.isComplete()) {
            workDemand.clear();
        }
        workDemand.putAll(status.workDemand());
        load.setColdStartEndMs(nowMs + status.remainingColdStartMs());
        return isChanged;
    }

    /** Keeps what an earlier process of the node reported of the same incarnation and the current one may not know. */
    private PeerStatusMessage.Upstream mergeKnown(PeerStatusMessage.Upstream reported) {
        if (!toIncarnation(reported).matches(toIncarnation(knownUpstream))) {
            return reported;
        }
        return new PeerStatusMessage.Upstream(
                reported.instance(),
                Math.max(reported.startedAtMs(), knownUpstream.startedAtMs()),
                reported.service(),
                reported.isLeaving() || knownUpstream.isLeaving(),
                reported.ratePerS().or(knownUpstream::ratePerS));
    }

    private static UpstreamIncarnation toIncarnation(PeerStatusMessage.Upstream reported) {
        return new UpstreamIncarnation(reported.instance(), reported.startedAtMs());
    }

    /** Returns the upstream if its node must not send it requests, or only at a limited rate. */
    Optional<PeerStatusMessage.Upstream> findBindingUpstream() {
        boolean isBound =
                knownUpstream.isLeaving() || knownUpstream.findRateLimitPerS().isPresent();
        return isBound ? Optional.of(knownUpstream) : Optional.empty();
    }

    PeerInfo getInfo() {
        return info;
    }

    void setInfo(PeerInfo newInfo) {
        info = newInfo;
    }

    Optional<PeerLink> getLink() {
        return link;
    }

    void setLink(Optional<PeerLink> newLink) {
        link = newLink;
    }

    boolean isUsable() {
        return isAccepting && link.map(PeerLink::isUsable).orElse(false);
    }

    String getInstance() {
        return upstream.instance();
    }

    String getService() {
        return upstream.service();
    }

    long getRulesVersion() {
        return rulesVersion;
    }

    /** Returns the work that new requests at the node require, in slots by rank and service. */
    Map<String, Double> getWorkDemand() {
        return workDemand;
    }

    /** Returns whether the node has reported that it is about to stop permanently. */
    boolean isPermanentShutdown() {
        return isPermanentShutdown;
    }

    void setPermanentShutdown() {
        isPermanentShutdown = true;
    }

    boolean isDialing() {
        return isDialing;
    }

    void setDialing(boolean dialing) {
        isDialing = dialing;
    }

    long getBackoffMs() {
        return backoffMs;
    }

    void setBackoffMs(long newBackoffMs) {
        backoffMs = newBackoffMs;
    }

    long getLostAtMs() {
        return lostAtMs;
    }

    void setLostAtMs(long atMs) {
        lostAtMs = atMs;
    }
}
