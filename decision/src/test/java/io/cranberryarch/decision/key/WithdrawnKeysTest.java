package io.cranberryarch.decision.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class WithdrawnKeysTest {

    private static final int NODE_COUNT = 8;

    @Property(tries = 200, seed = "41")
    void withdrawalIsNeverUndoneAndReachesAllAfterAPartitionHeals(@ForAll long seed) {
        Random random = new Random(seed);
        List<WithdrawnKeys> nodes = new ArrayList<>();
        List<Set<String>> observedKeys = new ArrayList<>();
        for (int i = 0; i < NODE_COUNT; i++) {
            nodes.add(new WithdrawnKeys());
            observedKeys.add(new HashSet<>());
        }
        for (int step = 0; step < 300; step++) {
            int node = random.nextInt(NODE_COUNT);
            int peer = random.nextInt(NODE_COUNT);
            if (step % 20 == 0) {
                nodes.get(node).add(List.of("k" + step));
            } else if (node % 2 == peer % 2) {
                exchange(nodes.get(node), nodes.get(peer), random.nextInt(3) == 0);
            }
            for (int i = 0; i < NODE_COUNT; i++) {
                assertTrue(nodes.get(i).getAll().containsAll(observedKeys.get(i)), "a withdrawal was undone");
                observedKeys.get(i).addAll(nodes.get(i).getAll());
            }
        }
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < NODE_COUNT; i++) {
                exchange(nodes.get(i), nodes.get((i + 1) % NODE_COUNT), false);
                exchange(nodes.get(i), nodes.get((i + 1) % NODE_COUNT), false);
            }
        }
        nodes.forEach(node -> assertEquals(15, node.getAll().size()));
    }

    @Property(tries = 50, seed = "42")
    void keyIsListedForStorageUntilItIsStored(@ForAll long seed) {
        WithdrawnKeys keys = new WithdrawnKeys();
        keys.add(List.of("k" + seed, "other"));
        keys.onStored(List.of("k" + seed));
        assertEquals(List.of("other"), keys.findUnstored());
        keys.add(List.of("k" + seed));
        assertEquals(List.of("other"), keys.findUnstored());
    }

    @Test
    void newNodeReceivesAllKeysByItsFirstRequest() {
        WithdrawnKeys existing = new WithdrawnKeys();
        existing.add(List.of("k1", "k2"));
        for (int i = 0; i < 100; i++) {
            existing.toRequest();
        }
        assertEquals(List.of(), existing.toRequest(), "keys are still sent in requests");
        WithdrawnKeys joining = new WithdrawnKeys();
        joining.add(existing.toAnswer(joining.getDigest()));
        assertEquals(existing.getAll(), joining.getAll());
        assertEquals(List.of(), existing.toAnswer(joining.getDigest()));
    }

    private static void exchange(WithdrawnKeys node, WithdrawnKeys peer, boolean isAnswerLost) {
        peer.add(node.toRequest());
        List<String> answer = peer.toAnswer(node.getDigest());
        if (!isAnswerLost) {
            node.add(answer);
            node.onAnswer(peer.getDigest());
        }
    }
}
