package org.marjoramswitch.kernel.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.crash.CrashSuspects;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Which prompt parts the ends of an entry's attempts accuse, clear and persist. */
class CrashReportsTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final long SHARED_PART = 1;

    private final CrashReports reports = new CrashReports();
    private final List<Action> persisted = new ArrayList<>();
    private long requests;

    /** A blocked part must survive a restart of all instances. */
    @Test
    void partThatStaysBlockedIsPersisted() {
        crashThreeTimes();
        reports.tick(3_199, persisted::add);
        assertEquals(List.of(), persisted);
        reports.tick(3_200, persisted::add);
        assertEquals(1, persisted.size());
        assertTrue(persisted.get(0) instanceof Action.KeepCrashes kept && kept.digest() == digest());
    }

    /** Guards against blocking a sound part again from the key-value store after it was cleared. */
    @Test
    void partThatIsClearedSoonIsNotPersisted() {
        EntryRequest sent = started("t4");
        crashThreeTimes();
        assertTrue(reports.poisonRequests().blockedForMs(digest(), 1_200) > 0);
        reports.responseBegan(sent, 1_250);
        reports.responseProgressed(sent, 1_549);
        assertTrue(reports.poisonRequests().blockedForMs(digest(), 1_549) > 0);
        reports.responseProgressed(sent, 1_550);
        assertEquals(0, reports.poisonRequests().blockedForMs(digest(), 1_550));
        reports.tick(10_000, persisted::add);
        assertEquals(List.of(), persisted);
    }

    /** Guards against accusing requests whose responses had been under way for long. */
    @Test
    void responsesThatWentOnAreNotAccused() {
        EntryRequest request = started("t1");
        reports.responseBegan(request, 100);
        assertEquals(List.of(), reports.attemptEnded(request, TargetId.of("t1"), TargetOutcome.BROKEN_IN_ANSWER, 400));
        EntryRequest later = started("t1");
        reports.responseBegan(later, 300);
        assertEquals(
                List.of(digest()), reports.attemptEnded(later, TargetId.of("t1"), TargetOutcome.BROKEN_IN_ANSWER, 400));
    }

    /** Guards against clearing a part by a response that ended, or went silent, right after it had begun. */
    @ParameterizedTest
    @EnumSource(
            value = TargetOutcome.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"COMPLETED"})
    void responseThatEndedEarlyClearsNothing(TargetOutcome outcome) {
        crashThreeTimes();
        EntryRequest ended = started("t4");
        reports.responseBegan(ended, 1_250);
        reports.attemptEnded(ended, TargetId.of("t4"), outcome, 1_255);
        reports.tick(1_600, persisted::add);
        assertTrue(reports.poisonRequests().crashCount(digest()) >= 3);
    }

    /** Guards against clearing a part while its response is silent, as it is when its target loses power. */
    @Test
    void silentResponseClearsNothing() {
        crashThreeTimes();
        reports.responseBegan(started("t4"), 1_250);
        reports.tick(5_000, persisted::add);
        assertEquals(3, reports.poisonRequests().crashCount(digest()));
    }

    private void crashThreeTimes() {
        for (int i = 0; i < 3; i++) {
            long nowMs = 600L * i;
            TargetId target = TargetId.of("t" + i);
            for (long digest :
                    reports.attemptEnded(started(target.name()), target, TargetOutcome.BROKEN_BEFORE_ANSWER, nowMs)) {
                reports.persist(digest, nowMs, persisted::add);
            }
        }
    }

    private EntryRequest started(String target) {
        RequestSpec spec = spec();
        EntryRequest request = new EntryRequest(spec, CrashSuspects.of(spec), false, 0);
        request.attemptStarted(TargetId.of(target), "v1", CellId.of(POOL, 0), 1, 0);
        return request;
    }

    private RequestSpec spec() {
        requests++;
        List<PromptPart> prompt = List.of(PromptPart.of(SHARED_PART, 10), PromptPart.of(100 + requests, 10));
        PlacementSpec placement = new PlacementSpec(prompt, 5, 400, 2, true);
        return new RequestSpec(requests, CustomerId.of("a"), POOL, 1, true, 20, 5, 0, 5_000, placement);
    }

    private long digest() {
        return CrashSuspects.of(spec()).promptParts().get(0);
    }
}
