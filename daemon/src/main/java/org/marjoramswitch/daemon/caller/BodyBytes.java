package org.marjoramswitch.daemon.caller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Collects the bytes of one request's body. A body of declared length is received in an array of that length, which is
 * allocated when its first byte arrives. One of unknown length is received in segments, which are reserved as they are
 * allocated and copied once at the end, when both are held for a moment.
 */
final class BodyBytes {
    private static final byte[] NONE = new byte[0];
    private static final int FIRST_SEGMENT_BYTES = 2 << 10;
    private static final int MAX_SEGMENT_BYTES = 64 << 10;

    private final RequestMemory memory;
    private final long declaredBytes;
    private final List<byte[]> fullSegments = new ArrayList<>(0);
    private byte[] segment = NONE;
    private int segmentBytes;
    private long sizeBytes;

    /** @param declaredBytes already reserved; negative if the length is unknown */
    BodyBytes(RequestMemory memory, long declaredBytes) {
        this.memory = memory;
        this.declaredBytes = declaredBytes;
    }

    long sizeBytes() {
        return sizeBytes;
    }

    /** Adds the remaining bytes of the buffer; false if they do not fit into the memory. */
    boolean add(ByteBuffer buffer) {
        while (buffer.hasRemaining()) {
            if (segmentBytes == segment.length && !addSegment()) {
                return false;
            }
            int count = Math.min(buffer.remaining(), segment.length - segmentBytes);
            buffer.get(segment, segmentBytes, count);
            segmentBytes += count;
            sizeBytes += count;
        }
        return true;
    }

    private boolean addSegment() {
        if (declaredBytes >= 0) {
            if (sizeBytes == declaredBytes) {
                throw new IllegalStateException("a body is longer than its declared length");
            }
            segment = new byte[(int) declaredBytes];
            return true;
        }
        int length = Math.min(MAX_SEGMENT_BYTES, Math.max(FIRST_SEGMENT_BYTES, 2 * segment.length));
        if (!memory.tryAddBody(length)) {
            return false;
        }
        if (segment.length > 0) {
            fullSegments.add(segment);
        }
        segment = new byte[length];
        segmentBytes = 0;
        return true;
    }

    /** Returns the complete body and drops all references to it; null if it does not fit into the memory. */
    byte @Nullable [] take() {
        if (declaredBytes >= 0 || sizeBytes == 0) {
            byte[] body = segment;
            clear();
            return body;
        }
        if (!memory.tryAddBody(sizeBytes)) {
            return null;
        }
        byte[] body = new byte[(int) sizeBytes];
        int position = 0;
        long reservedBytes = segment.length;
        for (byte[] full : fullSegments) {
            System.arraycopy(full, 0, body, position, full.length);
            position += full.length;
            reservedBytes += full.length;
        }
        System.arraycopy(segment, 0, body, position, segmentBytes);
        clear();
        memory.removeBody(reservedBytes);
        return body;
    }

    /** Drops all bytes; their reservation remains. */
    void clear() {
        fullSegments.clear();
        segment = NONE;
        segmentBytes = 0;
    }
}
