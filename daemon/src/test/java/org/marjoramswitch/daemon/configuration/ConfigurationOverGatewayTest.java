package org.marjoramswitch.daemon.configuration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class ConfigurationOverGatewayTest {

    @Test
    void changesBecomeActiveDespiteLostResponsesSilentWatchesAndOutage() throws Exception {
        // Over sockets: the response to a publication is lost after it took effect. Then all open watches become silent
        // permanently. Then the store accepts calls without responding, and an instance restarts without settings. Each
        // change must become active everywhere, and no instance may return to an older generation.
        try (GatewayFleet fleet = GatewayFleet.start(ConfigurationOptions.DEFAULT, 9)) {
            fleet.gateway.loseAnswers(1);
            fleet.put(2);
            fleet.instances.awaitWeight("acme", 2);
            fleet.gateway.stickWatches();
            fleet.put(3);
            fleet.instances.awaitWeight("acme", 3);
            fleet.gateway.hang();
            fleet.put(4);
            fleet.instances.restart(5);
            FakeFleet.await("settings from peers", () -> fleet.instances.hasWeight(5, "acme", 3));
            fleet.gateway.recover();
            fleet.instances.awaitWeight("acme", 4);
            assertTrue(fleet.instances.generationsOnlyIncreased());
        }
    }
}
