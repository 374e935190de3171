package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Changed records to disseminate, each transmitted a number of times that is logarithmic in the size of the fleet. */
final class MemberUpdateQueue {

    private static final int TRANSMISSIONS_PER_DOUBLING = 3;
    private static final int MAX_BATCH_RECORDS = 16;

    private final Map<String, Integer> remainingTransmissions = new HashMap<>();

    void add(String instance, int fleetSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
        remainingTransmissions.put(instance, TRANSMISSIONS_PER_DOUBLING * Math.max(1, doublings));
    }

    /** Returns the records for the next message, those sent least often first, and counts them as transmitted. */
    List<Member> nextBatch(MemberTable table) {
        if (remainingTransmissions.isEmpty()) {
            return List.of();
        }
        List<String> names = new ArrayList<>(remainingTransmissions.keySet());
        names.sort(Comparator.comparing((String name) -> -remainingTransmissions.get(name))
                .thenComparing(Comparator.naturalOrder()));
        List<Member> batch = new ArrayList<>();
        for (String name : names.subList(0, Math.min(MAX_BATCH_RECORDS, names.size()))) {
            table.find(name).ifPresent(batch::add);
            remainingTransmissions.computeIfPresent(name, (key, left) -> left > 1 ? left - 1 : null);
        }
        return batch;
    }
}
