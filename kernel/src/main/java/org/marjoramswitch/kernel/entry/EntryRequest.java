package org.marjoramswitch.kernel.entry;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;

/** A request at its entry, from its arrival until its end. */
final class EntryRequest {
    private final RequestSpec spec;
    private final long arrivedAtMs;
    private final Set<TargetId> failedAt = new HashSet<>();
    private int attempts;
    private @Nullable TargetId target;
    private @Nullable CellId cell;
    private @Nullable TargetId fetchFrom;
    private long sequence;
    private long costTokens;
    private long toldTokens;
    private boolean callerGone;
    private int executions;

    EntryRequest(RequestSpec spec, long arrivedAtMs) {
        this.spec = spec;
        this.arrivedAtMs = arrivedAtMs;
    }

    RequestSpec spec() {
        return spec;
    }

    long arrivedAtMs() {
        return arrivedAtMs;
    }

    int attempts() {
        return attempts;
    }

    /** The target of the running attempt, null while the request waits. */
    @Nullable
    TargetId target() {
        return target;
    }

    /** The cell that the running attempt is accounted in, null while the request waits. */
    @Nullable
    CellId cell() {
        return cell;
    }

    /** The target whose kept prompt parts the running attempt's target fetches, null where there is none. */
    @Nullable
    TargetId fetchFrom() {
        return fetchFrom;
    }

    void fetchFrom(@Nullable TargetId source) {
        fetchFrom = source;
    }

    /** The name by which the cell's arbiter knows the running attempt. */
    long sequence() {
        return sequence;
    }

    /** From now on the arbiter knows the attempt by the name that a registration gives it. */
    void renamed() {
        sequence = -spec.requestId();
        toldTokens = costTokens;
    }

    long costTokens() {
        return costTokens;
    }

    void costTokens(long tokens) {
        costTokens = tokens;
    }

    /** The cost that the arbiter was last told. */
    long toldTokens() {
        return toldTokens;
    }

    void told() {
        toldTokens = costTokens;
    }

    boolean callerGone() {
        return callerGone;
    }

    void markCallerGone() {
        callerGone = true;
    }

    Set<TargetId> failedTargets() {
        return failedAt;
    }

    boolean failedAt(TargetId candidate) {
        return failedAt.contains(candidate);
    }

    void started(TargetId atTarget, CellId inCell, long grantSequence) {
        attempts++;
        target = atTarget;
        cell = inCell;
        sequence = grantSequence;
        costTokens = 0;
        toldTokens = 0;
    }

    /**
     * Whether some attempt may have executed the request. It stays true through later attempts that certainly did not:
     * a caller told "not run" after a broken first and a refused second attempt would repeat what the first one did.
     */
    boolean mayHaveRun() {
        return executions > 0;
    }

    void markMayHaveRun() {
        executions++;
    }

    /** How many attempts may have executed the request. */
    int executions() {
        return executions;
    }

    /** The target was chosen and cannot be used; nothing was sent. */
    void failedAtUnused(TargetId unused) {
        failedAt.add(unused);
    }

    /** The running attempt's target belongs to another cell now, under the name a registration gives the attempt. */
    void movedTo(@Nullable CellId newCell) {
        cell = newCell;
        renamed();
    }

    /** Back to waiting after a failed attempt. */
    void failed() {
        if (target != null) {
            failedAt.add(target);
        }
        target = null;
        cell = null;
        fetchFrom = null;
    }
}
