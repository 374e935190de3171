package io.cranberryarch.decision.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.settings.SettingChange;
import io.cranberryarch.settings.SettingEdit;
import io.cranberryarch.settings.SettingPath;
import io.cranberryarch.settings.SettingTree;
import io.cranberryarch.settings.SettingsException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SettingsHistoryTest {

    private static final int VERSION_COUNT = 40;
    private static final int NODE_COUNT = 6;

    @Property(tries = 100, seed = "31")
    void versionsNeverDecreaseAndConvergeAfterAPartitionHeals(@ForAll long seed) throws SettingsException {
        List<SettingTree> trees = toTrees();
        List<SettingChange> log = toLog();
        List<SettingsHistory> nodes = toNodes();
        Random random = new Random(seed);
        for (int step = 0; step < 300; step++) {
            SettingsHistory node = nodes.get(random.nextInt(NODE_COUNT));
            long before = node.getTree().getVersion();
            int stale = random.nextInt(VERSION_COUNT);
            switch (random.nextInt(4)) {
                case 0 -> node.apply(log.subList(stale, random.nextInt(stale, VERSION_COUNT)));
                case 1 -> node.replace(trees.get(random.nextInt(step / 10 + 1)));
                default -> pull(node, nodes.get(random.nextInt(NODE_COUNT)));
            }
            assertTrue(node.getTree().getVersion() >= before, "reverted");
            assertEquals(
                    trees.get((int) node.getTree().getVersion()).getValues(),
                    node.getTree().getValues());
        }
        long highest = nodes.stream()
                .mapToLong(node -> node.getTree().getVersion())
                .max()
                .orElseThrow();
        for (SettingsHistory node : nodes) {
            nodes.forEach(peer -> pull(node, peer));
            assertEquals(highest, node.getTree().getVersion());
        }
    }

    @Property(tries = 100, seed = "32")
    void nodeFarBehindReceivesTheWholeTreeAndTheSameValues(@ForAll long seed) throws SettingsException {
        SettingsHistory full = new SettingsHistory();
        int snapshot = new Random(seed).nextInt(1, VERSION_COUNT);
        full.replace(toTrees().get(snapshot));
        full.apply(toLog());
        SettingsHistory empty = new SettingsHistory();
        assertEquals(Optional.empty(), full.toPush(snapshot - 1));
        pull(empty, full);
        assertEquals(full.getTree().getValues(), empty.getTree().getValues());
    }

    @Test
    void readyOnlyAtTheHighestVersionOfPeersWhileThePlatformIsDown() throws SettingsException {
        SettingsHistory node = new SettingsHistory();
        node.replace(toTrees().get(5));
        node.onPeerVersion("a", 5);
        node.onPeerVersion("b", 9);
        node.onPeerVersion("c", 5);
        assertFalse(node.isReady(10), "before the platform failed");
        node.onPlatformRead(false);
        assertFalse(node.isReady(10), "behind peer b");
        node.replace(toTrees().get(9));
        assertTrue(node.isReady(10));
    }

    @Test
    void staleAnswerOfThePlatformDoesNotMakeANodeReady() throws SettingsException {
        SettingsHistory node = new SettingsHistory();
        node.onPeerVersion("a", 9);
        node.replace(toTrees().get(5));
        node.onPlatformRead(true);
        assertFalse(node.isReady(1));
        node.replace(toTrees().get(9));
        assertTrue(node.isReady(1));
    }

    private static void pull(SettingsHistory node, SettingsHistory peer) {
        if (peer.getTree().getVersion() <= node.getTree().getVersion()) {
            return;
        }
        Optional<List<SettingChange>> push = peer.toPush(node.getTree().getVersion());
        if (push.isPresent()) {
            node.apply(push.get());
        } else {
            node.replace(peer.getTree());
        }
    }

    private static List<SettingsHistory> toNodes() {
        List<SettingsHistory> nodes = new ArrayList<>();
        for (int i = 0; i < NODE_COUNT; i++) {
            nodes.add(new SettingsHistory());
        }
        return nodes;
    }

    private static List<SettingChange> toLog() throws SettingsException {
        List<SettingChange> log = new ArrayList<>();
        for (int i = 1; i <= VERSION_COUNT; i++) {
            SettingPath path = SettingPath.of("/teams/t" + i % 3 + "/p" + i % 5);
            Optional<String> value = i % 7 == 0 ? Optional.empty() : Optional.of(String.valueOf(i));
            log.add(new SettingChange(i, "c" + i, "author", i, List.of(new SettingEdit(path, value))));
        }
        return log;
    }

    private static List<SettingTree> toTrees() throws SettingsException {
        List<SettingTree> trees = new ArrayList<>(List.of(SettingTree.EMPTY));
        for (SettingChange change : toLog()) {
            trees.add(trees.get(trees.size() - 1).apply(change));
        }
        return trees;
    }
}
