package org.marjoramswitch.daemon.target;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Collects bytes that are delivered later. They are kept in segments, so that growing and delivering them copies nothing. Used
 * by one thread at a time.
 */
public final class PendingBytes {
    private static final byte[] NONE = new byte[0];
    private static final int FIRST_SEGMENT_BYTES = 512;
    private static final int MAX_SEGMENT_BYTES = 16 << 10;

    private final List<byte[]> fullSegments = new ArrayList<>(0);
    private byte[] segment = NONE;
    private int segmentBytes;
    private int size;
    private int allocatedBytes;

    public int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The memory that the bytes take. */
    public int allocatedBytes() {
        return allocatedBytes;
    }

    public void add(byte[] bytes, int from, int count) {
        int added = 0;
        while (added < count) {
            if (segmentBytes == segment.length) {
                addSegment(count - added);
            }
            int part = Math.min(count - added, segment.length - segmentBytes);
            System.arraycopy(bytes, from + added, segment, segmentBytes, part);
            segmentBytes += part;
            added += part;
        }
        size += count;
    }

    private void addSegment(int needed) {
        if (segment.length > 0) {
            fullSegments.add(segment);
        }
        int grown = Math.max(FIRST_SEGMENT_BYTES, Math.max(needed, 2 * segment.length));
        segment = new byte[Math.min(MAX_SEGMENT_BYTES, grown)];
        segmentBytes = 0;
        allocatedBytes += segment.length;
    }

    /** Removes all bytes and passes them on in order, in one or more pieces. */
    void drainTo(Consumer<byte[]> sink) {
        List<byte[]> pieces = new ArrayList<>(fullSegments);
        if (segmentBytes > 0) {
            pieces.add(trimmed());
        }
        clear();
        pieces.forEach(sink);
    }

    private byte[] trimmed() {
        if (segmentBytes == segment.length) {
            return segment;
        }
        byte[] used = new byte[segmentBytes];
        System.arraycopy(segment, 0, used, 0, segmentBytes);
        return used;
    }

    public byte[] toByteArray() {
        byte[] all = new byte[size];
        int position = 0;
        for (byte[] full : fullSegments) {
            System.arraycopy(full, 0, all, position, full.length);
            position += full.length;
        }
        System.arraycopy(segment, 0, all, position, segmentBytes);
        return all;
    }

    public void clear() {
        fullSegments.clear();
        segment = NONE;
        segmentBytes = 0;
        size = 0;
        allocatedBytes = 0;
    }
}
