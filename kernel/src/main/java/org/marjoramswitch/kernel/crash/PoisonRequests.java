package org.marjoramswitch.kernel.crash;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Under which requests targets have ended, and which requests are therefore not run for a while. Requests are told by
 * their digest, since one that comes again has a new name each time.
 *
 * <p>The idea: when a target ends, every request that runs there is a suspect. One that was there when
 * {@value #TARGETS_TO_BLOCK} targets ended is blocked; one that is served is cleared, whatever ended beside it. So a
 * request that ends each target that runs it is found after as many ends, and one that many callers send alike is not
 * taken for it as long as any of them is served.
 *
 * <p>A block ends by itself, for it may be wrong: the targets of a service may all have ended of another cause. The first
 * is short; then one request is let through at a time, and each further end makes the next block
 * {@value #BLOCK_GROWTH} times as long.
 *
 * <p>A record is a set that only grows until it is cleared or forgotten, so instances may tell one another in any order
 * and more than once. Memory is bounded: the oldest records go first, blocked ones last.
 */
public final class PoisonRequests {
    /** With fewer, requests that two ends have hit by chance would be refused. */
    private static final int TARGETS_TO_BLOCK = 3;

    private static final long FIRST_BLOCK_MS = 60_000;
    private static final int BLOCK_GROWTH = 8;
    private static final long LONGEST_BLOCK_MS = 24 * 60 * 60 * 1_000L;
    /** How long an end is remembered against a request that is not blocked. */
    private static final long KEPT_MS = 600_000;
    /** Between two requests that are let through after a block; the end of a target is told well within it. */
    private static final long TRIAL_MS = 2_000;

    /** Ends of one target that are told closer together are one, seen by several instances or through several requests. */
    private static final long SAME_END_MS = 1_000;

    private static final int MOST_RECORDS = 1_024;

    /** By digest; the last one to be changed is the last. */
    private final Map<Long, CrashRecord> records = new LinkedHashMap<>();

    private PoisonRequests() {}

    public static PoisonRequests create() {
        return new PoisonRequests();
    }

    /** Notes an end; false where it is known or too old to matter. */
    public boolean add(RequestCrash crash, long nowMs) {
        forget(nowMs);
        CrashRecord record = records.remove(crash.digest());
        if (record == null) {
            record = new CrashRecord();
        }
        boolean news = record.add(new End(crash.target(), nowMs - crash.ageMs()));
        if (record.forgottenAtMs() <= nowMs) {
            return false;
        }
        records.put(crash.digest(), record);
        if (records.size() > MOST_RECORDS) {
            dropOldest(nowMs);
        }
        return news;
    }

    /** The request was served; false where nothing was held against it. */
    public boolean clear(long digest) {
        return records.remove(digest) != null;
    }

    /** How much longer the request is not run; 0 where it may run. */
    public long blockedForMs(long digest, long nowMs) {
        CrashRecord record = records.get(digest);
        return record == null ? 0 : Math.max(0, record.blockedUntilMs() - nowMs);
    }

    /** The request is let through; after a block others like it wait for what becomes of it. */
    public void admitted(long digest, long nowMs) {
        CrashRecord record = records.get(digest);
        if (record != null && record.isHarmful()) {
            record.trialUntilMs = nowMs + TRIAL_MS;
        }
    }

    /** How many targets have ended under the request. */
    public int ends(long digest) {
        CrashRecord record = records.get(digest);
        return record == null ? 0 : record.ends.size();
    }

    /** What is held against one request. */
    public List<RequestCrash> of(long digest, long nowMs) {
        CrashRecord record = records.get(digest);
        return record == null ? List.of() : record.crashes(digest, nowMs);
    }

    /** All that is known, for an instance that may know less. */
    public List<RequestCrash> all(long nowMs) {
        forget(nowMs);
        List<RequestCrash> all = new ArrayList<>();
        records.forEach((digest, record) -> all.addAll(record.crashes(digest, nowMs)));
        return all;
    }

    private void forget(long nowMs) {
        records.values().removeIf(record -> record.forgottenAtMs() <= nowMs);
    }

    private void dropOldest(long nowMs) {
        Iterator<CrashRecord> oldestFirst = records.values().iterator();
        while (oldestFirst.hasNext()) {
            if (oldestFirst.next().blockedUntilMs() <= nowMs) {
                oldestFirst.remove();
                return;
            }
        }
        records.remove(records.keySet().iterator().next());
    }

    private record End(TargetId target, long atMs) {
        private boolean isSame(End other) {
            return target.equals(other.target) && Math.abs(atMs - other.atMs) < SAME_END_MS;
        }
    }

    /** What is held against one request. */
    private static final class CrashRecord {
        private final List<End> ends = new ArrayList<>(TARGETS_TO_BLOCK);
        private long lastMs;
        private long trialUntilMs;

        private boolean add(End end) {
            if (ends.stream().anyMatch(end::isSame)) {
                return false;
            }
            lastMs = Math.max(lastMs, end.atMs());
            return ends.add(end);
        }

        private List<RequestCrash> crashes(long digest, long nowMs) {
            return ends.stream()
                    .map(end -> new RequestCrash(digest, end.target(), nowMs - end.atMs()))
                    .toList();
        }

        private boolean isHarmful() {
            return ends.size() >= TARGETS_TO_BLOCK;
        }

        private long blockedUntilMs() {
            if (!isHarmful()) {
                return 0;
            }
            long blockMs = FIRST_BLOCK_MS;
            for (int i = TARGETS_TO_BLOCK; i < ends.size() && blockMs < LONGEST_BLOCK_MS; i++) {
                blockMs *= BLOCK_GROWTH;
            }
            return Math.max(lastMs + Math.min(blockMs, LONGEST_BLOCK_MS), trialUntilMs);
        }

        private long forgottenAtMs() {
            return Math.max(lastMs, blockedUntilMs()) + KEPT_MS;
        }
    }
}
