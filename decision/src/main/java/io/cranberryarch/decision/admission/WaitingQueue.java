package io.cranberryarch.decision.admission;

import io.cranberryarch.settings.Priority;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A queue of calls that wait for admission for a short time, ordered by priority, and within a priority by the client
 * account that received the least service relative to its weight. Not thread-safe.
 *
 * <pre>
 * queue.add(call, nowMs);
 * Optional&lt;WaitingQueue.Entry&gt; next = queue.poll();
 * </pre>
 */
final class WaitingQueue {

    /**
     * A call in the queue.
     *
     * @param call the call
     * @param arrivedAtMs the arrival time, in milliseconds
     * @param expiresAtMs the time at which it is refused if it still waits, in milliseconds
     */
    record Entry(WaitingCall call, long arrivedAtMs, long expiresAtMs) {}

    /** The calls of one client account within a priority, with the weighted service that it has received. */
    private static final class Account {

        private final Deque<Entry> entries = new ArrayDeque<>();
        private double served;
    }

    /** The calls of one priority. */
    private static final class Group {

        private final Map<String, Account> accounts = new HashMap<>();
        private double served;
    }

    private final Map<Priority, Group> groups = new EnumMap<>(Priority.class);
    private int size;

    WaitingQueue() {
        for (Priority priority : Priority.values()) {
            groups.put(priority, new Group());
        }
    }

    int getSize() {
        return size;
    }

    void add(Entry entry) {
        Group group = groups.get(entry.call().priority());
        Account account = group.accounts.computeIfAbsent(entry.call().account(), unused -> new Account());
        if (account.entries.isEmpty()) {
            account.served = Math.max(account.served, group.served);
        }
        account.entries.addLast(entry);
        size++;
    }

    Optional<Entry> poll() {
        for (Group group : groups.values()) {
            Optional<Account> account = group.accounts.values().stream()
                    .filter(candidate -> !candidate.entries.isEmpty())
                    .min(Comparator.comparingDouble(candidate -> candidate.served));
            if (account.isPresent()) {
                return Optional.of(removeFirst(group, account.get()));
            }
        }
        return Optional.empty();
    }

    /**
     * Removes the newest call of the least important priority below the given one, from the account with most calls.
     */
    Optional<Entry> evictBelow(Priority priority) {
        Priority[] priorities = Priority.values();
        for (int i = priorities.length - 1; i > priority.ordinal(); i--) {
            Optional<Account> account = groups.get(priorities[i]).accounts.values().stream()
                    .filter(candidate -> !candidate.entries.isEmpty())
                    .max(Comparator.comparingInt(candidate -> candidate.entries.size()));
            if (account.isPresent()) {
                size--;
                return Optional.of(account.get().entries.removeLast());
            }
        }
        return Optional.empty();
    }

    List<Entry> removeExpired(long nowMs) {
        List<Entry> expired = new ArrayList<>();
        for (Group group : groups.values()) {
            for (Account account : group.accounts.values()) {
                removeExpired(account, nowMs, expired);
            }
            group.accounts.values().removeIf(account -> account.entries.isEmpty() && account.served <= group.served);
        }
        size -= expired.size();
        return expired;
    }

    private static void removeExpired(Account account, long nowMs, List<Entry> expired) {
        Iterator<Entry> entries = account.entries.iterator();
        while (entries.hasNext()) {
            Entry entry = entries.next();
            if (entry.expiresAtMs() <= nowMs) {
                expired.add(entry);
                entries.remove();
            }
        }
    }

    private Entry removeFirst(Group group, Account account) {
        Entry entry = account.entries.removeFirst();
        group.served = account.served;
        account.served += 1 / entry.call().weight();
        size--;
        return entry;
    }
}
