package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.wire.PeerStatusMessage;
import io.cranberryarch.wire.PeerStatusMessage.Upstream;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PeerTest {

    private static final Upstream LIMITED = new Upstream("i-1", 5, "stock", false, Optional.of(8.0));
    private static final Upstream LEAVING = new Upstream("i-1", 5, "stock", true, Optional.empty());

    private final Peer peer = new Peer(new PeerInfo("node-a", "zone-a", "127.0.0.1:7000"));

    /**
     * Guards against a limit or a leave that is lost if a node is killed twice: the process in between did not know its
     * upstream yet.
     */
    @Test
    void processThatDoesNotKnowItsUpstreamDoesNotReplaceWhatIsKnown() {
        report(LIMITED);
        report(Upstream.UNKNOWN);
        assertEquals(Optional.of(LIMITED), peer.findBindingUpstream());
        assertEquals("", peer.getService());
        report(LEAVING);
        report(Upstream.UNKNOWN);
        assertTrue(peer.findBindingUpstream().orElseThrow().isLeaving());
    }

    @Test
    void processThatHasNoResponseYetDoesNotEndTheLimit() {
        report(LIMITED);
        report(new Upstream("i-1", UpstreamIncarnation.UNKNOWN_START_MS, "stock", false, Optional.empty()));
        assertEquals(Optional.of(LIMITED), peer.findBindingUpstream());
        report(new Upstream("i-1", 5, "stock", false, Optional.of(Upstream.NO_RATE_LIMIT)));
        assertEquals(Optional.empty(), peer.findBindingUpstream());
    }

    @Test
    void anotherIncarnationIsNotBound() {
        report(LIMITED);
        report(LEAVING);
        report(new Upstream("i-1", 6, "stock", false, Optional.empty()));
        assertEquals(Optional.empty(), peer.findBindingUpstream());
    }

    private void report(Upstream upstream) {
        PeerStatusMessage status =
                new PeerStatusMessage(Optional.of(upstream), true, false, 10, 0, 0, 0, 1, Map.of(), true, Map.of());
        peer.onStatus(status, 0);
    }
}
