package org.marjoramswitch.daemon.caller;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.caller.MemoryBudget.Kind;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.kernel.error.Failure;

/**
 * Buffers one request's response between its target, which is never slowed down, and the callers that read it, which
 * may be slow.
 *
 * <p>Chunks are numbered from 0 and each reader has a position. Chunks that every reader has passed are freed unless
 * the response is retained for later readers. A reader whose unread bytes exceed the limit is dropped. The alternatives
 * are to hold the complete response, with which one slow caller could exhaust the memory, or to stop reading from the
 * target, which would occupy a slot that other requests wait for.
 *
 * <p>A response is retained from its first byte or not at all: once it exceeds its limit or the memory of its
 * customer is exhausted, its chunks are freed as they are read, and no readers are added after that.
 *
 * <p>Example: the limit is 10 unread bytes, reader A has read 0 of 8 bytes and B all 8. Four bytes arrive: A is 12
 * bytes behind and is dropped, B continues, and the first 8 bytes are freed.
 *
 * <p>Thread-safe. The lock is held only briefly and never while a reader is notified.
 */
final class ResponseBuffer implements ResponseListener {
    /** Limit of unread bytes while the customer's memory is exhausted; sufficient for a caller that keeps reading. */
    private static final int MAX_UNREAD_BYTES_WHEN_EXHAUSTED = 16 << 10;

    /**
     * Beyond this many chunks, small ones are merged, since the array of each is not counted: a response that arrives byte by
     * byte would take thirty times the memory of its bytes.
     */
    private static final int MAX_SMALL_CHUNKS = 64;

    private static final int MERGED_BYTES = 512;

    private final Limits limits;
    private final MemoryAccount account;
    private final EndListener endListener;
    private final List<byte[]> chunks = new ArrayList<>();
    private final List<Cursor> cursors = new ArrayList<>();
    private long firstChunk;
    private long totalBytes;
    private boolean retained;
    private @Nullable ResponseHead head;
    private @Nullable ResponseEnd end;

    private ResponseBuffer(Limits limits, boolean retained, MemoryAccount account, EndListener endListener) {
        this.limits = limits;
        this.retained = retained;
        this.account = account;
        this.endListener = endListener;
    }

    /**
     * Memory limits of a response.
     *
     * @param unreadBytes maximum number of unread bytes of a reader
     * @param keptBytes size of the largest response that is retained for later readers
     */
    record Limits(int unreadBytes, int keptBytes) {}

    /** Notified once of the end of a response, after the readers. */
    interface EndListener {
        void onEnd(ResponseEnd end, long totalBytes);
    }

    /** @param retained whether readers may be added after bytes have been read */
    static ResponseBuffer create(Limits limits, boolean retained, MemoryAccount account, EndListener endListener) {
        return new ResponseBuffer(limits, retained, account, endListener);
    }

    /** Returns a cursor at the response's first byte, or null if that byte has been freed. */
    synchronized @Nullable Cursor open(ResponseBufferListener reader) {
        if (firstChunk > 0) {
            return null;
        }
        Cursor cursor = new Cursor(reader);
        cursors.add(cursor);
        return cursor;
    }

    /** Stops retaining the response; current readers continue. */
    void discard() {
        synchronized (this) {
            retained = false;
            trim();
        }
    }

    /** Whether the response is incomplete and has no readers. */
    synchronized boolean isRunningWithoutReaders() {
        return end == null && cursors.isEmpty();
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        List<Cursor> readers;
        synchronized (this) {
            head = new ResponseHead(status, Map.copyOf(headers));
            readers = List.copyOf(cursors);
        }
        readers.forEach(cursor -> cursor.reader.onMore());
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        List<Cursor> dropped = new ArrayList<>();
        List<Cursor> readers;
        synchronized (this) {
            boolean budgetExhausted = !append(bytes);
            dropSlow(budgetExhausted ? MAX_UNREAD_BYTES_WHEN_EXHAUSTED : limits.unreadBytes(), dropped);
            trim();
            readers = List.copyOf(cursors);
        }
        dropped.forEach(cursor -> cursor.reader.onDropped());
        readers.forEach(cursor -> cursor.reader.onMore());
    }

    @Override
    public void onComplete() {
        end(new ResponseEnd.Complete());
    }

    @Override
    public void onFailure(Failure failure) {
        end(new ResponseEnd.Failed(failure));
    }

    private void end(ResponseEnd responseEnd) {
        List<Cursor> readers;
        long bytes;
        synchronized (this) {
            if (end != null) {
                return;
            }
            end = responseEnd;
            bytes = totalBytes;
            readers = List.copyOf(cursors);
        }
        readers.forEach(cursor -> cursor.reader.onMore());
        endListener.onEnd(responseEnd, bytes);
    }

    /** Appends a chunk; false if the customer's memory is exhausted. */
    private boolean append(byte[] bytes) {
        totalBytes += bytes.length;
        if (!mergeWithLast(bytes)) {
            chunks.add(bytes);
        }
        boolean withinBudget = account.tryReserve(Kind.RESPONSES, bytes.length);
        if (!withinBudget) {
            account.forceReserve(Kind.RESPONSES, bytes.length);
        }
        if (!withinBudget || totalBytes > limits.keptBytes()) {
            retained = false;
        }
        return withinBudget;
    }

    private boolean mergeWithLast(byte[] bytes) {
        int last = chunks.size() - 1;
        if (last < MAX_SMALL_CHUNKS || chunks.get(last).length + bytes.length > MERGED_BYTES) {
            return false;
        }
        for (Cursor cursor : cursors) {
            if (cursor.nextChunk > firstChunk + last) {
                return false;
            }
        }
        byte[] before = chunks.get(last);
        byte[] merged = Arrays.copyOf(before, before.length + bytes.length);
        System.arraycopy(bytes, 0, merged, before.length, bytes.length);
        chunks.set(last, merged);
        return true;
    }

    private void dropSlow(long unreadBytes, List<Cursor> dropped) {
        for (Cursor cursor : cursors) {
            if (totalBytes - cursor.readBytes > unreadBytes) {
                dropped.add(cursor);
            }
        }
        cursors.removeAll(dropped);
    }

    /** Frees the chunks that no reader needs any more. */
    private void trim() {
        if (retained) {
            return;
        }
        long firstNeeded = firstChunk + chunks.size();
        for (Cursor cursor : cursors) {
            firstNeeded = Math.min(firstNeeded, cursor.nextChunk);
        }
        int freed = (int) (firstNeeded - firstChunk);
        long freedBytes = chunks.subList(0, freed).stream()
                .mapToLong(chunk -> chunk.length)
                .sum();
        chunks.subList(0, freed).clear();
        firstChunk = firstNeeded;
        if (freedBytes > 0) {
            account.release(Kind.RESPONSES, freedBytes);
        }
    }

    /** A reader's position in the response; used only by that reader's thread. */
    final class Cursor {
        private final ResponseBufferListener reader;
        private long nextChunk;
        private long readBytes;
        private long unwrittenBytes;

        private Cursor(ResponseBufferListener reader) {
            this.reader = reader;
        }

        /** The head, or null before it has arrived. */
        @Nullable
        ResponseHead head() {
            synchronized (ResponseBuffer.this) {
                return head;
            }
        }

        /** The next bytes, or null if none are available. */
        byte @Nullable [] next() {
            synchronized (ResponseBuffer.this) {
                int index = (int) (nextChunk - firstChunk);
                if (index >= chunks.size() || !cursors.contains(this)) {
                    return null;
                }
                byte[] chunk = chunks.get(index);
                nextChunk++;
                readBytes += chunk.length;
                trim();
                return chunk;
            }
        }

        /** How the response ended, or null while it continues or unread bytes are left. */
        @Nullable
        ResponseEnd end() {
            synchronized (ResponseBuffer.this) {
                boolean readAll = nextChunk == firstChunk + chunks.size();
                return readAll ? end : null;
            }
        }

        /** The length of a complete response of which this reader has read nothing yet; otherwise -1. */
        long knownLength() {
            synchronized (ResponseBuffer.this) {
                return nextChunk == 0 && end instanceof ResponseEnd.Complete ? totalBytes : -1;
            }
        }

        /**
         * Sets how many bytes the reader holds that it has taken and cannot write yet, which count as held like unread ones.
         */
        void holdUnwritten(long bytes) {
            if (bytes > unwrittenBytes) {
                account.forceReserve(Kind.RESPONSES, bytes - unwrittenBytes);
            } else if (bytes < unwrittenBytes) {
                account.release(Kind.RESPONSES, unwrittenBytes - bytes);
            }
            unwrittenBytes = bytes;
        }

        /** Removes the reader. */
        void close() {
            holdUnwritten(0);
            synchronized (ResponseBuffer.this) {
                cursors.remove(this);
                trim();
            }
        }
    }
}
