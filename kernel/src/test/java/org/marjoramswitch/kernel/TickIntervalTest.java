package org.marjoramswitch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

/** Guards against short tick intervals on an instance without waiting requests, which cost processor time. */
class TickIntervalTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc");

    private final InstanceKernel kernel =
            InstanceKernel.create(Member.of(InstanceId.of("entry-1"), 1, DATA_CENTRE, false));

    @Test
    void tickIntervalIsShortOnlyWhileARequestWaits() {
        TargetId target = TargetId.of("t1");
        kernel.apply(
                new Event.SettingsAccepted(FleetSettings.of(
                        1,
                        Map.of(),
                        Map.of(POOL, PoolSettings.plainServices(POOL)),
                        Map.of(target, new TargetSettings(target, POOL, "10.0.0.1", 80, DATA_CENTRE, 1, false)))),
                0);
        assertTrue(kernel.tickMs() > InstanceKernel.BUSY_TICK_MS);
        arrive(1);
        assertTrue(kernel.tickMs() > InstanceKernel.BUSY_TICK_MS, "the request runs");
        arrive(2);
        assertEquals(InstanceKernel.BUSY_TICK_MS, kernel.tickMs(), "the second one waits");
        end(1);
        end(2);
        assertTrue(kernel.tickMs() > InstanceKernel.BUSY_TICK_MS);
    }

    private void arrive(long id) {
        PlacementSpec placement = PlacementSpec.plain(400, 2);
        kernel.apply(
                new Event.RequestArrived(
                        new RequestSpec(id, CustomerId.of("a"), POOL, 1, true, 0, 0, 0, 5_000, placement)),
                1);
    }

    private void end(long id) {
        kernel.apply(new Event.TargetEnded(id, TargetOutcome.COMPLETED, Usage.NONE), 50);
    }
}
