package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.route.CallerLimits;

class RecentLimitsTest {
    private static final long NOTICE_MS = RecentLimits.NOTICE_MS;

    private final RecentLimits limits = RecentLimits.unknown();

    /** Guards against closing idle connections by a default before the operator's limit is known. */
    @Test
    void nothingExpiresBeforeLimitsAreKnown() {
        assertNull(limits.since(0));
        assertEquals(Long.MAX_VALUE, limits.idleUntilMs(0));
        assertEquals(Long.MAX_VALUE, limits.headUntilMs(0));
        limits.apply(idle(2_000), 50_000);
        assertEquals(52_000, limits.idleUntilMs(0));
        assertEquals(62_000, limits.idleUntilMs(60_000));
    }

    @Test
    void raisedLimitHoldsForWhatBeganBefore() {
        limits.apply(idle(2_000), 0);
        limits.apply(idle(20_000), 11_000);
        assertEquals(30_000, limits.idleUntilMs(10_000));
    }

    /** Guards against closing a connection that its caller keeps by a former limit. */
    @Test
    void formerLimitHoldsForWhatBeganUntilCallersHaveNoticed() {
        limits.apply(idle(20_000), 0);
        limits.apply(idle(2_000), 10_000);
        assertEquals(10_000 + NOTICE_MS - 1 + 20_000, limits.idleUntilMs(10_000 + NOTICE_MS - 1));
        assertEquals(10_000 + NOTICE_MS + 2_000, limits.idleUntilMs(10_000 + NOTICE_MS));
    }

    /** Guards against a lowered size that is in force only seconds later than the version that brings it. */
    @Test
    void formerSizeHoldsOnlyForWhatBeganWhileItWasInForce() {
        limits.apply(new CallerLimits(4_096, 1_000, 1_000, 2_000), 0);
        limits.apply(new CallerLimits(1_024, 10, 1_000, 2_000), 10_000);
        assertEquals(1_000, Objects.requireNonNull(limits.since(9_999)).maxBodyBytes());
        assertEquals(10, Objects.requireNonNull(limits.since(10_000)).maxBodyBytes());
        assertEquals(1_024, Objects.requireNonNull(limits.since(10_000)).maxHeadBytes());
    }

    /** Guards against forgetting the longest of several limits that follow each other quickly. */
    @Test
    void mostGenerousOfSeveralFormerLimitsHolds() {
        limits.apply(idle(2_000), 0);
        limits.apply(idle(30_000), 10_000);
        limits.apply(idle(3_000), 10_500);
        limits.apply(idle(2_000), 11_000);
        assertEquals(41_000, limits.idleUntilMs(11_000));
        assertEquals(10_500 + NOTICE_MS + 3_000, limits.idleUntilMs(10_500 + NOTICE_MS));
    }

    @Test
    void formerLimitsAreForgottenWhenNothingCanBeOpenByThem() {
        limits.apply(idle(20_000), 0);
        limits.apply(idle(2_000), 10_000);
        limits.forgetExpired(10_000 + NOTICE_MS + 20_000);
        assertFalse(limits.areUniform());
        limits.forgetExpired(10_000 + NOTICE_MS + 20_001);
        assertTrue(limits.areUniform());
    }

    /** Guards against memory that grows with each version, and against limits that shrink when former ones are combined. */
    @Test
    void manyChangesAreCombinedGenerously() {
        limits.apply(idle(60_000), 0);
        for (int i = 1; i <= 1_000; i++) {
            limits.apply(idle(1_000 + i % 2), i);
        }
        assertEquals(60_000, limits.idleUntilMs(0));
        assertEquals(1_000 + NOTICE_MS - 1 + 1_001, limits.idleUntilMs(1_000 + NOTICE_MS - 1));
        assertEquals(1_000 + NOTICE_MS + 1_000, limits.idleUntilMs(1_000 + NOTICE_MS));
    }

    /** Guards against a change that counts as one although nothing changed: all versions carry limits. */
    @Test
    void sameLimitsAreNoChange() {
        limits.apply(idle(2_000), 0);
        limits.apply(idle(2_000), 10_000);
        assertTrue(limits.areUniform());
    }

    private static CallerLimits idle(int idleTimeoutMs) {
        return new CallerLimits(4_096, 1_000, 1_000, idleTimeoutMs);
    }
}
