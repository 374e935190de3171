package io.cranberryarch.decision.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Requests that wait for a slot: the most important rank first, and inside a rank in the order of arrival. Not
 * thread-safe.
 *
 * @param <T> the type of a request
 */
public final class RankQueue<T> {

    private final TreeMap<Integer, Deque<Waiting<T>>> byRank = new TreeMap<>();
    private int size;

    /**
     * Adds a request.
     *
     * @param item the request
     * @param rank its importance, 0 for the most important
     * @param expiresAtMs when it is of no use to start it any more, in milliseconds
     */
    public void add(T item, int rank, long expiresAtMs) {
        byRank.computeIfAbsent(rank, unused -> new ArrayDeque<>()).addLast(new Waiting<>(item, expiresAtMs));
        size++;
    }

    /**
     * Takes the request that is next.
     *
     * @return the request, or empty if none waits
     */
    public Optional<T> poll() {
        for (Deque<Waiting<T>> line : byRank.values()) {
            Waiting<T> next = line.pollFirst();
            if (next != null) {
                size--;
                return Optional.of(next.item());
            }
        }
        return Optional.empty();
    }

    /**
     * Takes out the requests whose time has passed.
     *
     * @param nowMs the time in milliseconds
     * @return the requests
     */
    public List<T> removeExpired(long nowMs) {
        List<T> expired = new ArrayList<>();
        for (Deque<Waiting<T>> line : byRank.values()) {
            Iterator<Waiting<T>> each = line.iterator();
            while (each.hasNext()) {
                Waiting<T> waiting = each.next();
                if (waiting.expiresAtMs() <= nowMs) {
                    expired.add(waiting.item());
                    each.remove();
                }
            }
        }
        size -= expired.size();
        return expired;
    }

    /**
     * Takes out one request.
     *
     * @param item the request
     * @return whether it waited
     */
    public boolean remove(T item) {
        for (Deque<Waiting<T>> line : byRank.values()) {
            if (line.removeIf(waiting -> waiting.item() == item)) {
                size--;
                return true;
            }
        }
        return false;
    }

    /**
     * Counts the requests that go before a new one.
     *
     * @param rank the rank of the new one
     * @return the number of requests of the same or a more important rank
     */
    public int countAhead(int rank) {
        int ahead = 0;
        for (Deque<Waiting<T>> line : byRank.headMap(rank, true).values()) {
            ahead += line.size();
        }
        return ahead;
    }

    /**
     * Counts all requests.
     *
     * @return the number of requests
     */
    public int getSize() {
        return size;
    }

    /** A request and the time until which it waits. */
    private record Waiting<T>(T item, long expiresAtMs) {}
}
