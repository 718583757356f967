package org.marjoramswitch.daemon.caller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections of one I/O thread on which a head was received in part, in the order in which the heads began, and a
 * bound on the memory of these heads together. Each head has a limit of its own, but the heads of some thousand
 * connections below it would exhaust the heap, before it is known who sends them.
 *
 * <p>What a head holds is estimated from its size and its headers and parameters. The sum is an upper bound that is
 * determined anew only when it exceeds the limit, so that a request whose head arrives at once costs an addition. Confined
 * to the I/O thread.
 */
final class IncompleteHeads implements Iterable<CallerConnection> {
    /** The part of the heap for all I/O threads together. */
    private static final double HEAP_SHARE = 0.1;

    /** Undertow collects a header's value in a buffer that doubles. */
    private static final int MEMORY_FACTOR = 2;
    /** Objects that Undertow creates for a header or a parameter, which may have a few bytes only. */
    private static final int ITEM_BYTES = 256;

    /** As many as Undertow accepts: 100 headers, see {@link CallerConnections}, and by default 1,000 parameters. */
    private static final int MAX_ITEMS = 1_100;

    private static final int MAX_READ_BYTES = 16 << 10;

    private final long maxBytes;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private long boundBytes;

    private IncompleteHeads(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    static IncompleteHeads of(long maxBytes) {
        return new IncompleteHeads(maxBytes);
    }

    /** With the limit of one of so many threads of a process with this maximum heap. */
    static IncompleteHeads ofHeap(long maxHeapBytes, int threads) {
        return of((long) (maxHeapBytes * HEAP_SHARE / threads));
    }

    void add(CallerConnection connection) {
        connections.add(connection);
    }

    void remove(CallerConnection connection) {
        connections.remove(connection);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    @Override
    public Iterator<CallerConnection> iterator() {
        return connections.iterator();
    }

    long maxBytes() {
        return maxBytes;
    }

    /** Counts a read of a head, whose size is not known yet. */
    void onRead() {
        long readBytes = memoryBytes(MAX_READ_BYTES, MAX_ITEMS);
        boundBytes += readBytes;
        if (boundBytes > maxBytes) {
            boundBytes = heldBytes() + readBytes;
        }
    }

    /** Whether some heads must be evicted. */
    boolean isExceeded() {
        return boundBytes > maxBytes;
    }

    /** Whether nothing more may be read until heads have been evicted. */
    boolean isExhausted() {
        return boundBytes > 2 * maxBytes;
    }

    /**
     * Returns the connections that hold most, without which the others hold at most half the limit; empty if the limit is
     * not exceeded.
     */
    List<CallerConnection> largest() {
        long left = heldBytes();
        if (left <= maxBytes) {
            boundBytes = left;
            return List.of();
        }
        List<CallerConnection> ordered = new ArrayList<>(connections);
        ordered.sort(Comparator.comparingLong((CallerConnection each) -> memoryBytes(each))
                .reversed());
        List<CallerConnection> largest = new ArrayList<>();
        for (CallerConnection connection : ordered) {
            if (left <= maxBytes / 2) {
                break;
            }
            largest.add(connection);
            left -= memoryBytes(connection);
        }
        boundBytes = left;
        return largest;
    }

    private long heldBytes() {
        long bytes = 0;
        for (CallerConnection connection : connections) {
            bytes += memoryBytes(connection);
        }
        return bytes;
    }

    private static long memoryBytes(CallerConnection connection) {
        return memoryBytes(connection.requestBytes(), connection.headItems());
    }

    /** An estimate of the memory of a head of which this many bytes, headers and parameters were received. */
    private static long memoryBytes(long receivedBytes, int items) {
        return MEMORY_FACTOR * receivedBytes + (long) ITEM_BYTES * Math.min(items, MAX_ITEMS);
    }

    /** Counts what may end a header or a parameter in these bytes. */
    static int items(ByteBuffer bytes) {
        int items = 0;
        for (int i = bytes.position(); i < bytes.limit(); i++) {
            byte value = bytes.get(i);
            if (value == '\n' || value == '&' || value == ';' || value == ',') {
                items++;
            }
        }
        return items;
    }
}
