package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;

/** Targets that fall silent within a response. */
class SilentTargetTest extends PlacementFleet {
    private static final int ATTEMPTS = 3;

    /** Guards against ending a stream that only its target can continue, because the report of its beginning was lost. */
    @Test
    void streamIsKeptIfNoOtherTargetHasItsVersion() {
        INSTANCES.forEach(id -> apply(id, new Event.SettingsAccepted(settings(Map.of("t1", "1", "t2", "2")))));
        long request = arrive(true, ATTEMPTS, true);
        assertTrue(isRunning(request));
        assertFalse(isEndedAsSilent(request));
    }

    private boolean isEndedAsSilent(long request) {
        return Objects.requireNonNull(kernels.get(entry)).apply(new Event.TargetSilent(request), nowMs).stream()
                .anyMatch(Action.EndSilentAttempt.class::isInstance);
    }
}
