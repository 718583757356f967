package org.marjoramswitch.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.marjoramswitch.daemon.route.RouteTable;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

class ActiveFleetSettingsTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final TargetId TARGET = TargetId.of("target");

    private final List<FleetSettings> offered = new ArrayList<>();
    private final List<Long> routedAtOffer = new ArrayList<>();
    private final ActiveFleetSettings settings = ActiveFleetSettings.create(this::onOffer);

    /** Guards against a 404 for proper requests that are routed by settings which the decision loop does not have yet. */
    @Test
    void decisionLoopGetsSettingsBeforeRequestsAreRoutedByThem() {
        settings.onSettings(routed(7));
        settings.onSettings(routed(8));

        assertEquals(List.of(0L, 7L), routedAtOffer);
        assertEquals(8, settings.routed().version());
    }

    @Test
    void targetsOfUnknownPoolsAreLeftOutUntilTheirPoolIsAdded() {
        settings.onTargets(
                Map.of(TARGET, new TargetSettings(TARGET, POOL, "127.0.0.1", 80, DataCentreId.of("dc"), 4, false)));
        settings.onSettings(routed(1));

        assertEquals(Set.of(), offered.get(0).targets().keySet());
        assertEquals(Set.of(TARGET), offered.get(1).targets().keySet());
    }

    private boolean onOffer(Event event) {
        offered.add(((Event.SettingsAccepted) event).settings());
        routedAtOffer.add(settings.routed().version());
        return true;
    }

    private static RoutedSettings routed(long version) {
        return new RoutedSettings(
                version,
                RouteTable.EMPTY,
                Map.of(POOL, PoolSettings.modelEngines(POOL)),
                Map.of(),
                Map.of(),
                Map.of(),
                false,
                CallerLimits.DEFAULT);
    }
}
