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
    void waitsAsLongAsEngineReportsProgress() {
        EngineStallPolicy policy = EngineStallPolicy.of(false);
        for (int tokens = 1; tokens < 100; tokens++) {
            assertEquals(Verdict.WAIT, policy.evaluate(state(Phase.RUNNING, tokens), 0));
        }
    }

    @Test
    void givesUpOnRequestThatStaysQueued() {
        EngineStallPolicy policy = EngineStallPolicy.of(true);
        for (int timeout = 1; timeout < EngineStallPolicy.MAX_STALLS; timeout++) {
            assertEquals(Verdict.WAIT, policy.evaluate(state(Phase.QUEUED, 0), 0));
        }
        assertEquals(Verdict.GIVE_UP, policy.evaluate(state(Phase.QUEUED, 0), 0));
    }

    @Test
    void abandonsConnectionOnlyOnSecondSuspicion() {
        EngineStallPolicy policy = EngineStallPolicy.of(true);
        assertEquals(Verdict.WAIT_BRIEFLY, policy.evaluate(state(Phase.RUNNING, 10), 4));
        assertEquals(Verdict.LEAVE_CONNECTION, policy.evaluate(state(Phase.RUNNING, 20), 4));
    }

    @Test
    void waitsLongerForUnreportedStateOnlyWithoutStreaming() {
        assertEquals(Verdict.GIVE_UP, EngineStallPolicy.of(true).evaluate(state(Phase.NOT_TOLD, 0), 0));
        EngineStallPolicy policy = EngineStallPolicy.of(false);
        for (int timeout = 1; timeout < EngineStallPolicy.MAX_UNREPORTED_STALLS; timeout++) {
            assertEquals(Verdict.WAIT, policy.evaluate(state(Phase.NOT_TOLD, 0), 0));
        }
        assertEquals(Verdict.GIVE_UP, policy.evaluate(state(Phase.NOT_TOLD, 0), 0));
    }

    @Test
    void givesUpOnLostRequestImmediately() {
        for (Phase phase : new Phase[] {Phase.UNKNOWN, Phase.UNREACHABLE, Phase.CANCELLED}) {
            assertEquals(Verdict.GIVE_UP, EngineStallPolicy.of(true).evaluate(state(phase, 0), 0));
        }
    }
}
