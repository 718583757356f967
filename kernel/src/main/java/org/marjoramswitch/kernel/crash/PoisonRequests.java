package org.marjoramswitch.kernel.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import org.marjoramswitch.kernel.message.PeerMessage.RequestCrash;
import org.marjoramswitch.kernel.model.TargetId;

/**
 * Records under which requests and prompt parts targets have crashed, and blocks poison ones for a limited time. Both
 * are identified by a digest, since a repeated request has a new id each time ({@link CrashSuspects}).
 *
 * <p>Algorithm: when a target crashes, every request that runs there becomes suspect. A request that ran on {@value
 * #CRASHES_TO_BLOCK} targets when they crashed is blocked; one that is served is cleared, whatever crashed while it
 * ran. A request that crashes every target is thus found after as many crashes, and a request that many callers send in
 * identical form is not blocked as long as any of them is served.
 *
 * <p>A poison prompt part crashes each target that begins a response to it, and other parts of the same prompts are
 * accused with it. A response that begins and goes on clears each part of its prompt of all crashes before. Popular parts
 * are thus cleared many times a second, while a poison part never is. As a clearance takes a moment, crashes within
 * {@value #SAME_MOMENT_MS} ms of one another count once for a part; targets that crash together have another reason.
 *
 * <p>A block expires, because it may be wrong: the targets of a service may all have crashed for another reason. The
 * first block is short; after it one request at a time is admitted as a trial, and each further crash makes the next
 * block {@value #BLOCK_GROWTH} times as long. Instances begin their trials one after the other, so that a poison request
 * that arrives at all of them crashes one target and not one for each instance.
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

    /** Longer than it takes until a response shows that it goes on, and until all instances know. */
    private static final long SAME_MOMENT_MS = 500;

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
            record = new CrashRecord(crash.promptPart());
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

    /**
     * Clears a prompt part of the crashes until a response to it began, for which it cannot be the reason; false if
     * there is none.
     */
    public boolean clearUntil(long digest, long begunAtMs) {
        CrashRecord record = records.get(digest);
        if (record == null || !record.clearUntil(begunAtMs)) {
            return false;
        }
        if (record.crashes.isEmpty()) {
            records.remove(digest);
        }
        return true;
    }

    /**
     * Remaining time for which the request is blocked, itself or for a part of its prompt, because of crashes or of a
     * trial that is running; 0 if it may run.
     */
    public long blockedForMs(CrashSuspects suspects, long nowMs) {
        return maxOverUnexplained(suspects, digest -> blockedForMs(digest, nowMs));
    }

    /** Remaining time for which crashes block the request; 0 if it may run as a trial. */
    public long blockedByCrashesForMs(CrashSuspects suspects, long nowMs) {
        return trialDueInMs(suspects, digest -> 0, nowMs);
    }

    /**
     * Remaining time until this instance may begin a trial of the request; 0 if it may, or if none is needed.
     *
     * @param delayMs this instance's delay after the end of the block of a digest
     */
    public long trialDueInMs(CrashSuspects suspects, LongUnaryOperator delayMs, long nowMs) {
        return maxOverUnexplained(suspects, digest -> {
            CrashRecord record = records.get(digest);
            if (record == null || !record.isPoison()) {
                return 0;
            }
            return Math.max(0, record.blockedByCrashesUntilMs() + delayMs.applyAsLong(digest) - nowMs);
        });
    }

    private long maxOverUnexplained(CrashSuspects suspects, LongUnaryOperator remainingMs) {
        return suspects.digests()
                .filter(digest -> !isExplained(digest, suspects))
                .map(remainingMs)
                .max()
                .orElse(0);
    }

    /** The blocked digest among those of the request; 0 if none is. */
    public long blockedDigest(CrashSuspects suspects, long nowMs) {
        return suspects.digests()
                .filter(digest -> !isExplained(digest, suspects) && blockedForMs(digest, nowMs) > 0)
                .findFirst()
                .orElse(0);
    }

    /**
     * Whether another poison part, which the request does not contain, was in all crashes of this part. Such a part may
     * be sound and only have been beside the other one; the first crash without that one shows that it is not.
     */
    private boolean isExplained(long digest, CrashSuspects suspects) {
        CrashRecord record = records.get(digest);
        return record != null
                && record.promptPart
                && record.isPoison()
                && records.entrySet().stream()
                        .filter(other -> !suspects.contains(other.getKey()))
                        .anyMatch(other -> other.getValue().explains(record));
    }

    /** Remaining time for which the request or prompt part is blocked; 0 if it may run. */
    public long blockedForMs(long digest, long nowMs) {
        CrashRecord record = records.get(digest);
        return record == null ? 0 : Math.max(0, record.blockedUntilMs() - nowMs);
    }

    /**
     * Records that the request was admitted. After a block this starts a trial, during which identical requests, or
     * others with the same prompt part, are blocked.
     *
     * @return whether the request is a trial
     */
    public boolean admitted(CrashSuspects suspects, long nowMs) {
        return suspects.digests().filter(digest -> admitted(digest, nowMs)).count() > 0;
    }

    boolean admitted(long digest, long nowMs) {
        CrashRecord record = records.get(digest);
        if (record == null || !record.isPoison()) {
            return false;
        }
        record.trialUntilMs = nowMs + TRIAL_INTERVAL_MS;
        return true;
    }

    /** Whether the digest is that of a prompt part under which targets have crashed. */
    public boolean isPromptPart(long digest) {
        CrashRecord record = records.get(digest);
        return record != null && record.promptPart;
    }

    /** The number of target crashes recorded for the request or prompt part. */
    public int crashCount(long digest) {
        CrashRecord record = records.get(digest);
        return record == null ? 0 : record.crashes.size();
    }

    /** The crashes recorded for one request or prompt part. */
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

    /** The crashes recorded for one request or prompt part. */
    private static final class CrashRecord {
        private final boolean promptPart;
        private final List<Crash> crashes = new ArrayList<>(CRASHES_TO_BLOCK);
        /** Crashes that count, see {@link #SAME_MOMENT_MS}; kept, since every new crash checks all records for expiry. */
        private int countedCrashes;

        private long lastCrashMs;
        private long trialUntilMs;

        private CrashRecord(boolean promptPart) {
            this.promptPart = promptPart;
        }

        private boolean add(Crash crash) {
            if (crashes.stream().anyMatch(crash::isSame)) {
                return false;
            }
            lastCrashMs = Math.max(lastCrashMs, crash.atMs());
            crashes.add(crash);
            countedCrashes = promptPart ? countMoments() : crashes.size();
            return true;
        }

        private boolean clearUntil(long begunAtMs) {
            boolean cleared = crashes.removeIf(crash -> crash.atMs() <= begunAtMs);
            countedCrashes = countMoments();
            return cleared;
        }

        private List<RequestCrash> crashes(long digest, long nowMs) {
            return crashes.stream()
                    .map(crash -> new RequestCrash(digest, crash.target(), nowMs - crash.atMs(), promptPart))
                    .toList();
        }

        /** Whether this is a poison part and was in all crashes of the other one. */
        private boolean explains(CrashRecord other) {
            return promptPart
                    && isPoison()
                    && other.crashes.stream().allMatch(crash -> crashes.stream().anyMatch(crash::isSame));
        }

        private boolean isPoison() {
            return countedCrashes >= CRASHES_TO_BLOCK;
        }

        private int countMoments() {
            int moments = 0;
            long countedAtMs = 0;
            for (Crash crash : crashes.stream()
                    .sorted(Comparator.comparingLong(Crash::atMs))
                    .toList()) {
                if (moments == 0 || crash.atMs() - countedAtMs >= SAME_MOMENT_MS) {
                    moments++;
                    countedAtMs = crash.atMs();
                }
            }
            return moments;
        }

        private long blockedUntilMs() {
            return isPoison() ? Math.max(blockedByCrashesUntilMs(), trialUntilMs) : 0;
        }

        private long blockedByCrashesUntilMs() {
            if (!isPoison()) {
                return 0;
            }
            long blockMs = FIRST_BLOCK_MS;
            for (int i = CRASHES_TO_BLOCK; i < countedCrashes && blockMs < MAX_BLOCK_MS; i++) {
                blockMs *= BLOCK_GROWTH;
            }
            return lastCrashMs + Math.min(blockMs, MAX_BLOCK_MS);
        }

        private long expiresAtMs() {
            return Math.max(lastCrashMs, blockedUntilMs()) + RETENTION_MS;
        }
    }
}
