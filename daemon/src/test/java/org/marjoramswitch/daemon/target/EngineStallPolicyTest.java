package org.marjoramswitch.daemon.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.target.EngineStallPolicy.Verdict;
import org.marjoramswitch.daemon.target.EngineState.Phase;

class EngineStallPolicyTest {
    private static EngineState state(Phase phase, long tokens) {
        return EngineState.of(phase, tokens);
    }

    @Test
    void progressIsWaitedForWithoutEnd() {
        EngineStallPolicy patience = EngineStallPolicy.of(false);
        for (int tokens = 1; tokens < 100; tokens++) {
            assertEquals(Verdict.WAIT, patience.judge(state(Phase.RUNNING, tokens), 0));
        }
    }

    @Test
    void engineThatSaysQueuedForEverIsGivenUp() {
        EngineStallPolicy patience = EngineStallPolicy.of(true);
        for (int silence = 1; silence < EngineStallPolicy.MAX_STALLS; silence++) {
            assertEquals(Verdict.WAIT, patience.judge(state(Phase.QUEUED, 0), 0));
        }
        assertEquals(Verdict.GIVE_UP, patience.judge(state(Phase.QUEUED, 0), 0));
    }

    @Test
    void connectionIsBlamedTheSecondTimeOnly() {
        EngineStallPolicy patience = EngineStallPolicy.of(true);
        assertEquals(Verdict.WAIT_BRIEFLY, patience.judge(state(Phase.RUNNING, 10), 4));
        assertEquals(Verdict.LEAVE_CONNECTION, patience.judge(state(Phase.RUNNING, 20), 4));
    }

    @Test
    void engineThatCannotSayIsWaitedForLongerOnWholeAnswersOnly() {
        assertEquals(Verdict.GIVE_UP, EngineStallPolicy.of(true).judge(state(Phase.NOT_TOLD, 0), 0));
        EngineStallPolicy patience = EngineStallPolicy.of(false);
        for (int silence = 1; silence < EngineStallPolicy.MAX_UNTOLD; silence++) {
            assertEquals(Verdict.WAIT, patience.judge(state(Phase.NOT_TOLD, 0), 0));
        }
        assertEquals(Verdict.GIVE_UP, patience.judge(state(Phase.NOT_TOLD, 0), 0));
    }

    @Test
    void lostRequestIsGivenUpAtOnce() {
        for (Phase phase : new Phase[] {Phase.UNKNOWN, Phase.UNREACHABLE, Phase.CANCELLED}) {
            assertEquals(Verdict.GIVE_UP, EngineStallPolicy.of(true).judge(state(phase, 0), 0));
        }
    }
}
