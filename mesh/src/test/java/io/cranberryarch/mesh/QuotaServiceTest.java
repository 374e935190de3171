package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.settings.serving.AccountRule;
import io.cranberryarch.settings.serving.RequestLimits;
import io.cranberryarch.settings.serving.ServingRules;
import io.cranberryarch.wire.AccountUsage;
import io.cranberryarch.wire.PeerStatusMessage;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class QuotaServiceTest {

    private static final AccountRule ANA = new AccountRule("ana", List.of("key-of-ana"), Optional.empty(), 100, 100);
    private static final AccountRule BEA = new AccountRule("bea", List.of("key-of-bea"), Optional.empty(), 100, 100);

    private TestFleet fleet;
    private QuotaService quotas;

    @BeforeEach
    void setUp() throws Exception {
        fleet = new TestFleet();
        TestFleet.Member member = fleet.add("node-a", "zone-a");
        PeerDirectory alone =
                new PeerDirectory(member.loop(), new PeerInfo("node-a", "zone-a", "127.0.0.1:1"), null, null);
        alone.onFleetKnown();
        quotas = new QuotaService(member.loop(), alone, member.settings());
        quotas.onRules(new ServingRules(
                1, List.of(), List.of(), List.of(ANA, BEA), new RequestLimits(8_000, 100_000, 5_000, 30_000)));
    }

    @AfterEach
    void tearDown() throws Exception {
        fleet.close();
    }

    /** Guards against peers that keep counting a refunded request because statuses omit its account. */
    @Test
    void reportsAccountWhoseOnlyRequestWasRefunded() throws Exception {
        assertEquals(Map.of(), quotas.report());
        TestFleet.await(() -> quotas.charge(ANA).isEmpty());
        assertEquals(1, quotas.report().get("ana").admitted());
        quotas.refund(ANA);
        assertEquals(0, quotas.report().get("ana").admitted());
        assertEquals(0, quotas.getUsage().get("ana").admitted());
    }

    /** Guards against statuses that name every account and so dominate the traffic of large fleets. */
    @Test
    void reportsChangedAccountsOnly() throws Exception {
        TestFleet.await(() -> quotas.charge(ANA).isEmpty());
        TestFleet.await(() -> quotas.charge(BEA).isEmpty());
        assertEquals(Set.of("ana", "bea"), quotas.report().keySet());
        TestFleet.await(() -> quotas.charge(BEA).isEmpty());
        assertEquals(Set.of("bea"), quotas.report().keySet());
        assertEquals(Map.of(), quotas.report());
        assertEquals(Set.of("ana", "bea"), quotas.getUsage().keySet());
    }

    @Test
    void shareFollowsRemoteDemandAndIgnoresRemovedNodes() throws Exception {
        TestFleet.await(() -> quotas.charge(ANA).isEmpty());
        quotas.report();
        double alone = toShare();
        quotas.onPeerStatus("node-b", toStatus(true, Map.of("ana", new AccountUsage(50, 10, 0))));
        double shared = toShare();
        assertEquals(alone * 25.1 / 75.1, shared, 0.01);
        quotas.onPeerStatus("node-b", toStatus(false, Map.of("bea", new AccountUsage(50, 10, 0))));
        assertEquals(shared, toShare(), 0.001, "an account missing from a partial status has not changed");
        quotas.onPeerStatus("node-b", toStatus(true, Map.of("bea", new AccountUsage(50, 10, 0))));
        assertEquals(alone, toShare(), 0.001, "a complete status names all accounts");
        quotas.onPeerStatus("node-b", toStatus(false, Map.of("ana", new AccountUsage(50, 12, 0))));
        assertEquals(shared, toShare(), 0.001);
        quotas.removeNode("node-b");
        assertEquals(alone, toShare(), 0.001);
    }

    private double toShare() {
        String fields = quotas.toLogFields(ANA);
        return Double.parseDouble(fields.replaceAll(".* share=([0-9.]+) .*", "$1"));
    }

    private static PeerStatusMessage toStatus(boolean isComplete, Map<String, AccountUsage> accounts) {
        return new PeerStatusMessage(Optional.empty(), true, false, 1, 0, 0, 0, 1, Map.of(), isComplete, accounts);
    }
}
