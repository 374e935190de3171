package io.cranberryarch.mesh;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.decision.serving.InstanceLoad;
import io.cranberryarch.decision.serving.InstanceSelector;
import io.cranberryarch.wire.PeerStatusMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** What a node knows of another node, or of itself as a place to run requests. */
final class Peer implements InstanceSelector.Candidate {

    private PeerInfo info;
    private InstanceLoad load = new InstanceLoad();
    private Optional<PeerLink> link = Optional.empty();
    private String instance = "";
    private String service = "";
    private boolean isAccepting;
    private long rulesVersion = -1;
    private final Map<String, Double> workDemand = new HashMap<>();
    private boolean isEnding;
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

    /** Takes a status and tells whether the upstream changed. */
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
        load.onReport(status.limit(), status.busy(), status.failing());
        if (status.isComplete()) {
            workDemand.clear();
        }
        workDemand.putAll(status.workDemand());
        load.setColdUntilMs(nowMs + status.coldLeftMs());
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

    /** Gets the work that new requests at the node ask of services. */
    Map<String, Double> getWorkDemand() {
        return workDemand;
    }

    /** Tells whether the node said that it ends for good. */
    boolean isEnding() {
        return isEnding;
    }

    void setEnding() {
        isEnding = true;
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
