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
    private String instance = "";
    private String service = "";
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
        String newInstance =
                status.upstream().map(PeerStatusMessage.Upstream::instance).orElse(instance);
        String newService =
                status.upstream().map(PeerStatusMessage.Upstream::service).orElse(service);
        boolean isChanged =
                !instance.equals(newInstance) || !service.equals(newService) || isAccepting != status.isAccepting();
        if (!instance.equals(newInstance)) {
            load = new InstanceLoad();
        }
        instance = newInstance;
        service = newService;
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
        return instance;
    }

    String getService() {
        return service;
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
