package io.cranberryarch.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cranberryarch.context.PeerInfo;
import io.cranberryarch.settings.serving.AccountRule;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class QuotaServiceTest {

    /** The others would go on counting a request that was given back if its account were left out of the statuses. */
    @Test
    void accountWhoseOnlyRequestWasGivenBackIsStillTold() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            TestFleet.Member member = fleet.add("node-a", "zone-a");
            PeerInfo self = new PeerInfo("node-a", "zone-a", "127.0.0.1:1");
            PeerDirectory alone = new PeerDirectory(member.loop(), self, null, null);
            alone.onFleetKnown();
            QuotaService quotas = new QuotaService(member.loop(), alone, member.settings());
            AccountRule account = new AccountRule("ana", List.of("key-of-ana"), Optional.empty(), 100, 100);
            assertEquals(Map.of(), quotas.getAdmitted());
            TestFleet.await(() -> quotas.charge(account).isEmpty());
            quotas.giveBack(account);
            assertEquals(Map.of("ana", 0L), quotas.getAdmitted());
        }
    }
}
