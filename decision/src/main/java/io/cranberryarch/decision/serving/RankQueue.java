package io.cranberryarch.decision.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A queue of requests that wait for a slot, ordered by rank, most important first, and within a rank by arrival. Not
 * thread-safe.
 *
 * @param <T> the type of a request
 */
public final class RankQueue<T> {

    private final TreeMap<Integer, Deque<Entry<T>>> byRank = new TreeMap<>();
    private int size;

    /**
     * Adds a request.
     *
     * @param item the request
     * @param rank its importance, 0 for the most important
     * @param expiresAtMs the time from which it is too late to start it, in milliseconds
     */
    public void add(T item, int rank, long expiresAtMs) {
        byRank.computeIfAbsent(rank, unused -> new ArrayDeque<>()).addLast(new Entry<>(item, expiresAtMs));
        size++;
    }

    /**
     * Removes the next request.
     *
     * @return the request, or empty if none waits
     */
    public Optional<T> poll() {
        for (Deque<Entry<T>> requests : byRank.values()) {
            Entry<T> next = requests.pollFirst();
            if (next != null) {
                size--;
                return Optional.of(next.item());
            }
        }
        return Optional.empty();
    }

    /**
     * Removes the requests that have expired.
     *
     * @param nowMs the time in milliseconds
     * @return the removed requests
     */
    public List<T> removeExpired(long nowMs) {
        List<T> expired = new ArrayList<>();
        for (Deque<Entry<T>> requests : byRank.values()) {
            Iterator<Entry<T>> iterator = requests.iterator();
            while (iterator.hasNext()) {
                Entry<T> entry = iterator.next();
                if (entry.expiresAtMs() <= nowMs) {
                    expired.add(entry.item());
                    iterator.remove();
                }
            }
        }
        size -= expired.size();
        return expired;
    }

    /**
     * Removes a request.
     *
     * @param item the request
     * @return whether it was in the queue
     */
    public boolean remove(T item) {
        for (Deque<Entry<T>> requests : byRank.values()) {
            if (requests.removeIf(entry -> entry.item() == item)) {
                size--;
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the number of requests ahead of a new one.
     *
     * @param rank the rank of the new one
     * @return the number of requests of the same or a more important rank
     */
    public int countAhead(int rank) {
        int ahead = 0;
        for (Deque<Entry<T>> requests : byRank.headMap(rank, true).values()) {
            ahead += requests.size();
        }
        return ahead;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number of requests
     */
    public int getSize() {
        return size;
    }

    /** A request and the time at which it expires. */
    private record Entry<T>(T item, long expiresAtMs) {}
}
