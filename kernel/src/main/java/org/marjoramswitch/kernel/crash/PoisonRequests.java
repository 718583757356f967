package org.marjoramswitch.kernel.crash;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Records under which requests targets have crashed, and blocks poison requests for a limited time. Requests are
 * identified by their digest, since a repeated request has a new id each time.
 *
 * <p>Algorithm: when a target crashes, every request that runs there becomes suspect. A request that ran on {@value
 * #CRASHES_TO_BLOCK} targets when they crashed is blocked; one that is served is cleared, whatever crashed while it
 * ran. A request that crashes every target is thus found after as many crashes, and a request that many callers send in
 * identical form is not blocked as long as any of them is served.
 *
 * <p>A block expires, because it may be wrong: the targets of a service may all have crashed for another reason. The
 * first block is short; after it one request at a time is admitted as a trial, and each further crash makes the next
 * block {@value #BLOCK_GROWTH} times as long.
 *
 * <p>Records are grow-only sets until they are cleared or expire, so updates from peers may arrive in any order and
 * more than once. Memory is bounded: the oldest records are evicted first, blocked ones last.
 */
public final class PoisonRequests {
    /** With 2, requests that happened to run on two crashing targets would be rejected. */
    private static final int CRASHES_TO_BLOCK = 3;

    private static final long FIRST_BLOCK_MS = 60_000;
    private static final int BLOCK_GROWTH = 8;
    private static final long MAX_BLOCK_MS = 24 * 60 * 60 * 1_000L;
    /** How long a record is kept after its last crash or after the end of its block. */
    private static final long RETENTION_MS = 600_000;
    /** Interval between trial requests after a block. A crash is reported to all instances well within it. */
    private static final long TRIAL_INTERVAL_MS = 2_000;

    /** Reports about one target within this interval are one crash, observed by several instances or requests. */
    private static final long SAME_CRASH_MS = 1_000;

    private static final int MAX_RECORDS = 1_024;

    /** Records by digest; the most recently changed is last. */
    private final Map<Long, CrashRecord> records = new LinkedHashMap<>();

    private PoisonRequests() {}

    public static PoisonRequests create() {
        return new PoisonRequests();
    }

    /** Records a crash; false if it is already known or its record has expired. */
    public boolean add(RequestCrash crash, long nowMs) {
        removeExpired(nowMs);
        CrashRecord record = records.remove(crash.digest());
        if (record == null) {
            record = new CrashRecord();
        }
        boolean isNew = record.add(new Crash(crash.target(), nowMs - crash.ageMs()));
        if (record.expiresAtMs() <= nowMs) {
            return false;
        }
        records.put(crash.digest(), record);
        if (records.size() > MAX_RECORDS) {
            evictOldest(nowMs);
        }
        return isNew;
    }

    /** Clears a request that was served; false if it had no record. */
    public boolean clear(long digest) {
        return records.remove(digest) != null;
    }

    /** Remaining time for which the request is blocked; 0 if it may run. */
    public long blockedForMs(long digest, long nowMs) {
        CrashRecord record = records.get(digest);
        return record == null ? 0 : Math.max(0, record.blockedUntilMs() - nowMs);
    }

    /**
     * Records that the request was admitted. After a block this starts a trial, during which identical requests are
     * blocked.
     */
    public void admitted(long digest, long nowMs) {
        CrashRecord record = records.get(digest);
        if (record != null && record.isPoison()) {
            record.trialUntilMs = nowMs + TRIAL_INTERVAL_MS;
        }
    }

    /** The number of target crashes recorded for the request. */
    public int crashCount(long digest) {
        CrashRecord record = records.get(digest);
        return record == null ? 0 : record.crashes.size();
    }

    /** The crashes recorded for one request. */
    public List<RequestCrash> of(long digest, long nowMs) {
        CrashRecord record = records.get(digest);
        return record == null ? List.of() : record.crashes(digest, nowMs);
    }

    /** All recorded crashes, to be sent to an instance that may lack some. */
    public List<RequestCrash> all(long nowMs) {
        removeExpired(nowMs);
        List<RequestCrash> all = new ArrayList<>();
        records.forEach((digest, record) -> all.addAll(record.crashes(digest, nowMs)));
        return all;
    }

    private void removeExpired(long nowMs) {
        records.values().removeIf(record -> record.expiresAtMs() <= nowMs);
    }

    private void evictOldest(long nowMs) {
        Iterator<CrashRecord> oldestFirst = records.values().iterator();
        while (oldestFirst.hasNext()) {
            if (oldestFirst.next().blockedUntilMs() <= nowMs) {
                oldestFirst.remove();
                return;
            }
        }
        records.remove(records.keySet().iterator().next());
    }

    private record Crash(TargetId target, long atMs) {
        private boolean isSame(Crash other) {
            return target.equals(other.target) && Math.abs(atMs - other.atMs) < SAME_CRASH_MS;
        }
    }

    /** The crashes recorded for one request. */
    private static final class CrashRecord {
        private final List<Crash> crashes = new ArrayList<>(CRASHES_TO_BLOCK);
        private long lastCrashMs;
        private long trialUntilMs;

        private boolean add(Crash crash) {
            if (crashes.stream().anyMatch(crash::isSame)) {
                return false;
            }
            lastCrashMs = Math.max(lastCrashMs, crash.atMs());
            return crashes.add(crash);
        }

        private List<RequestCrash> crashes(long digest, long nowMs) {
            return crashes.stream()
                    .map(crash -> new RequestCrash(digest, crash.target(), nowMs - crash.atMs()))
                    .toList();
        }

        private boolean isPoison() {
            return crashes.size() >= CRASHES_TO_BLOCK;
        }

        private long blockedUntilMs() {
            if (!isPoison()) {
                return 0;
            }
            long blockMs = FIRST_BLOCK_MS;
            for (int i = CRASHES_TO_BLOCK; i < crashes.size() && blockMs < MAX_BLOCK_MS; i++) {
                blockMs *= BLOCK_GROWTH;
            }
            return Math.max(lastCrashMs + Math.min(blockMs, MAX_BLOCK_MS), trialUntilMs);
        }

        private long expiresAtMs() {
            return Math.max(lastCrashMs, blockedUntilMs()) + RETENTION_MS;
        }
    }
}
