package org.marjoramswitch.daemon.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.kernel.error.Failure;

/**
 * Holds one request's answer between the gate, which never waits, and the callers that read it, which may be slow.
 *
 * <p>Chunks are numbered from 0. Each reader has a position; chunks that every reader has passed are dropped unless the
 * answer is kept for later readers. A reader that is more than the limit of unread bytes behind is dropped itself: the
 * alternatives are to hold the whole answer, which one slow caller could use to exhaust the memory, or to stop reading
 * from the target, which would hold a slot that others wait for.
 *
 * <p>A kept answer is kept from its first byte or not at all: once it outgrows its limit, or the memory of all answers
 * is spent, it becomes an ordinary one and only the readers that are on it go on.
 *
 * <p>Example: limit 10 bytes unread, reader A has read 0 and B 8 of 8 bytes. Four bytes come: A is 12 behind and is
 * dropped, B reads on, and the first 8 bytes are freed.
 *
 * <p>All methods may be called by any thread; the lock is held for a few steps only and never while a reader is told.
 */
final class ResponseBuffer implements ResponseListener {
    /** How far a reader may be behind once the memory of all answers is spent; enough for one that keeps reading. */
    private static final int TIGHT_UNREAD_BYTES = 16 << 10;

    private final Limits limits;
    private final MemoryBudget budget;
    private final EndListener endListener;
    private final List<byte[]> chunks = new ArrayList<>();
    private final List<Cursor> cursors = new ArrayList<>();
    private long firstChunk;
    private long totalBytes;
    private boolean kept;
    private @Nullable ResponseHead head;
    private @Nullable ResponseEnd end;

    private ResponseBuffer(Limits limits, boolean kept, MemoryBudget budget, EndListener endListener) {
        this.limits = limits;
        this.kept = kept;
        this.budget = budget;
        this.endListener = endListener;
    }

    /**
     * How much an answer may hold.
     *
     * @param unreadBytes the most that a reader may be behind
     * @param keptBytes the largest answer that is kept for later readers
     */
    record Limits(int unreadBytes, int keptBytes) {}

    /** Hears of an answer's end, once, after the readers were told. */
    interface EndListener {
        void onEnd(ResponseEnd end, long totalBytes);
    }

    /** @param kept whether readers may begin after bytes were passed on */
    static ResponseBuffer create(Limits limits, boolean kept, MemoryBudget budget, EndListener endListener) {
        return new ResponseBuffer(limits, kept, budget, endListener);
    }

    /** A cursor at the answer's first byte, or null where that is not held any more. */
    synchronized @Nullable Cursor open(ResponseReader reader) {
        if (firstChunk > 0) {
            return null;
        }
        Cursor cursor = new Cursor(reader);
        cursors.add(cursor);
        return cursor;
    }

    /** Frees what is kept; readers that are on the answer go on. */
    void discard() {
        synchronized (this) {
            kept = false;
            trim();
        }
    }

    /** Whether the answer goes on and nobody reads it. */
    synchronized boolean isRunningAlone() {
        return end == null && cursors.isEmpty();
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        List<Cursor> told;
        synchronized (this) {
            head = new ResponseHead(status, Map.copyOf(headers));
            told = List.copyOf(cursors);
        }
        told.forEach(cursor -> cursor.reader.onMore());
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        List<Cursor> dropped = new ArrayList<>();
        List<Cursor> told;
        synchronized (this) {
            boolean tight = !add(bytes);
            dropSlow(tight ? TIGHT_UNREAD_BYTES : limits.unreadBytes(), dropped);
            trim();
            told = List.copyOf(cursors);
        }
        dropped.forEach(cursor -> cursor.reader.onDropped());
        told.forEach(cursor -> cursor.reader.onMore());
    }

    @Override
    public void onComplete() {
        end(new ResponseEnd.Complete());
    }

    @Override
    public void onFailure(Failure failure) {
        end(new ResponseEnd.Failed(failure));
    }

    private void end(ResponseEnd answerEnd) {
        List<Cursor> told;
        long bytes;
        synchronized (this) {
            if (end != null) {
                return;
            }
            end = answerEnd;
            bytes = totalBytes;
            told = List.copyOf(cursors);
        }
        told.forEach(cursor -> cursor.reader.onMore());
        endListener.onEnd(answerEnd, bytes);
    }

    /** Adds a chunk; false where the memory of all answers is spent. */
    private boolean add(byte[] bytes) {
        totalBytes += bytes.length;
        chunks.add(bytes);
        boolean withinBudget = budget.tryReserve(bytes.length);
        if (!withinBudget) {
            budget.forceReserve(bytes.length);
        }
        if (!withinBudget || totalBytes > limits.keptBytes()) {
            kept = false;
        }
        return withinBudget;
    }

    private void dropSlow(long unreadBytes, List<Cursor> dropped) {
        for (Cursor cursor : cursors) {
            if (totalBytes - cursor.readBytes > unreadBytes) {
                dropped.add(cursor);
            }
        }
        cursors.removeAll(dropped);
    }

    /** Frees the chunks that nobody can read any more. */
    private void trim() {
        if (kept) {
            return;
        }
        long keepFrom = firstChunk + chunks.size();
        for (Cursor cursor : cursors) {
            keepFrom = Math.min(keepFrom, cursor.nextChunk);
        }
        int freed = (int) (keepFrom - firstChunk);
        long freedBytes = chunks.subList(0, freed).stream()
                .mapToLong(chunk -> chunk.length)
                .sum();
        chunks.subList(0, freed).clear();
        firstChunk = keepFrom;
        budget.release(freedBytes);
    }

    /** One reader's place in the answer; used by that reader's thread alone. */
    final class Cursor {
        private final ResponseReader reader;
        private long nextChunk;
        private long readBytes;

        private Cursor(ResponseReader reader) {
            this.reader = reader;
        }

        /** The head, or null while there is none. */
        @Nullable
        ResponseHead head() {
            synchronized (ResponseBuffer.this) {
                return head;
            }
        }

        /** The next bytes, or null where there are none now. */
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

        /** How the answer ended, or null while it goes on or bytes are left to read. */
        @Nullable
        ResponseEnd end() {
            synchronized (ResponseBuffer.this) {
                boolean readAll = nextChunk == firstChunk + chunks.size();
                return readAll ? end : null;
            }
        }

        /** The whole length, where the answer has ended completely and this reader has read nothing; else -1. */
        long knownLength() {
            synchronized (ResponseBuffer.this) {
                return nextChunk == 0 && end instanceof ResponseEnd.Complete ? totalBytes : -1;
            }
        }

        /** The reader goes. */
        void close() {
            synchronized (ResponseBuffer.this) {
                cursors.remove(this);
                trim();
            }
        }
    }
}
