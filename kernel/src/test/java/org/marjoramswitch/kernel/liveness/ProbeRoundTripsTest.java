package org.marjoramswitch.kernel.liveness;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.InstanceId;

/** Guards against using a peer again that replies to what it received seconds ago. */
class ProbeRoundTripsTest {
    private static final InstanceId PEER = InstanceId.of("peer");

    private final ProbeRoundTrips probes = ProbeRoundTrips.create();

    @Test
    void promptReplyIsTimely() {
        long number = probes.sent(PEER, 1_000);
        assertTrue(probes.isTimely(PEER, number, 1_200));
        assertFalse(probes.isTimely(PEER, number, 1_201));
    }

    @Test
    void replyToAnEarlierProbeIsNotTimely() {
        long earlier = probes.sent(PEER, 1_000);
        long latest = probes.sent(PEER, 1_100);
        assertFalse(probes.isTimely(PEER, earlier, 1_150));
        assertTrue(probes.isTimely(PEER, latest, 1_150));
    }

    @Test
    void replyOfAPeerThatWasNotProbedIsNotTimely() {
        long number = probes.sent(PEER, 1_000);
        assertFalse(probes.isTimely(InstanceId.of("other"), number, 1_001));
    }
}
