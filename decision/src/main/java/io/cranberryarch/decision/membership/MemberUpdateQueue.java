package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Changed records still to be passed on, each a number of times that grows with the logarithm of the fleet. */
final class MemberUpdateQueue {

    private static final int TRANSMITS_PER_DOUBLING = 3;
    private static final int MAX_RECORDS = 16;

    private final Map<String, Integer> transmitsLeft = new HashMap<>();

    void add(String instance, int fleetSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
        transmitsLeft.put(instance, TRANSMITS_PER_DOUBLING * Math.max(1, doublings));
    }

    /** Takes the records for one message, those sent least often first. */
    List<Member> nextBatch(MemberTable table) {
        if (transmitsLeft.isEmpty()) {
            return List.of();
        }
        List<String> names = new ArrayList<>(transmitsLeft.keySet());
        names.sort(Comparator.comparing((String name) -> -transmitsLeft.get(name))
                .thenComparing(Comparator.naturalOrder()));
        List<Member> taken = new ArrayList<>();
        for (String name : names.subList(0, Math.min(MAX_RECORDS, names.size()))) {
            table.find(name).ifPresent(taken::add);
            transmitsLeft.computeIfPresent(name, (key, left) -> left > 1 ? left - 1 : null);
        }
        return taken;
    }
}
