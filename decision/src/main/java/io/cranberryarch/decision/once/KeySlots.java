package io.cranberryarch.decision.once;

import com.dynatrace.hash4j.hashing.Hashing;
import io.cranberryarch.decision.membership.Member;
import java.util.List;
import java.util.Optional;

/**
 * Partitions the keys that callers choose into slots, and selects the owner of a slot by rendezvous hashing.
 *
 * <pre>
 * String slot = KeySlots.toSlot("orders", key);
 * Optional&lt;Member&gt; candidate = KeySlots.pick(members, slot);
 * </pre>
 */
public final class KeySlots {

    /** The number of slots of each service. */
    public static final int COUNT = 16;

    private KeySlots() {}

    /**
     * Returns the name of the slot of a key.
     *
     * @param service the service, not {@code null}
     * @param key the idempotency key with its client account, not {@code null}
     * @return the name of the slot, one of {@link #COUNT} for the service
     */
    public static String toSlot(String service, String key) {
        return toSlot(service, (int) Math.floorMod(Hashing.komihash5_0().hashCharsToLong(key), (long) COUNT));
    }

    /**
     * Returns the name of a slot.
     *
     * @param service the service, not {@code null}
     * @param number the number, from 0 to {@link #COUNT} - 1
     * @return the name
     */
    public static String toSlot(String service, int number) {
        return "once/" + service + "/" + number;
    }

    /**
     * Selects the member that should own a slot. A member that joins or leaves changes the owner of its own slots only.
     *
     * @param candidates members of the slot's service, not {@code null}
     * @param slot the name of the slot, not {@code null}
     * @return the selected member, or empty if there is no candidate
     */
    public static Optional<Member> pick(List<Member> candidates, String slot) {
        Member best = null;
        long bestHash = 0;
        for (Member member : candidates) {
            long hash = Hashing.komihash5_0().hashCharsToLong(member.instance() + " " + slot);
            if (best == null || Long.compareUnsigned(hash, bestHash) > 0) {
                best = member;
                bestHash = hash;
            }
        }
        return Optional.ofNullable(best);
    }
}
