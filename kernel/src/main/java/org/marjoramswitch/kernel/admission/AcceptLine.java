package org.marjoramswitch.kernel.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Accepted connections that wait to be served, in the order of accepts. The newest is served first and the oldest is
 * rejected first: under overload the newest has the most of its caller's time left, and in the order of accepts every
 * connection would be served when its caller is about to give up.
 *
 * <p>Times are those for which the accepting thread ran, so that a pause of the process expires nothing. Not thread-safe.
 *
 * @param <C> type of a connection
 */
public final class AcceptLine<C> {
    private final int capacity;
    private final Deque<Entry<C>> entries = new ArrayDeque<>();

    private record Entry<C>(C connection, long acceptedMs) {}

    private AcceptLine(int capacity) {
        this.capacity = capacity;
    }

    public static <C> AcceptLine<C> withCapacity(int capacity) {
        return new AcceptLine<>(capacity);
    }

    public boolean isFull() {
        return entries.size() >= capacity;
    }

    public boolean isEmpty() {
        return entries.isEmpty();
    }

    public int size() {
        return entries.size();
    }

    public void add(C connection, long nowMs) {
        entries.addLast(new Entry<>(connection, nowMs));
    }

    /** Whether a connection has not waited for this time yet, so that it may be served. */
    public boolean hasFresh(long maxWaitMs, long nowMs) {
        return !entries.isEmpty() && nowMs - entries.getLast().acceptedMs() < maxWaitMs;
    }

    /** Removes the newest connection. */
    public C removeNewest() {
        return entries.removeLast().connection();
    }

    /** Returns the oldest connection if it has waited for this time, otherwise null. */
    public @Nullable C expired(long maxWaitMs, long nowMs) {
        return oldestWaitMs(nowMs) < maxWaitMs || entries.isEmpty()
                ? null
                : entries.getFirst().connection();
    }

    /** Removes the oldest connection. */
    public C removeOldest() {
        return entries.removeFirst().connection();
    }

    /** How long the oldest connection has waited; 0 if there is none. */
    public long oldestWaitMs(long nowMs) {
        return entries.isEmpty() ? 0 : nowMs - entries.getFirst().acceptedMs();
    }

    /** Removes all connections and returns them. */
    public Iterable<C> removeAll() {
        Iterable<C> removed = entries.stream().map(Entry::connection).toList();
        entries.clear();
        return removed;
    }
}
