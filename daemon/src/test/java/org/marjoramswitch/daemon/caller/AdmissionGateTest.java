package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.admission.AdmissionRequest;
import org.marjoramswitch.kernel.message.PeerMessage.CustomerTokens;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

class AdmissionGateTest {
    private final List<CustomerTokens> reported = new ArrayList<>();
    private final MetricRegistry registry = new MetricRegistry();
    private long nowMs = 1_000;
    private final AdmissionGate gate =
            AdmissionGate.create(AdmissionOptions.of(360, reported::addAll), () -> nowMs, registry);

    /** Guards against the all-or-nothing state: an instance that lags all the time still admits a part. */
    @Test
    void laggingInstanceAdmitsAPartAndReportsTheRest() {
        for (int i = 0; i < 2_000; i++) {
            nowMs++;
            gate.lagSampled(100);
            gate.admit(new AdmissionRequest(CustomerId.of("a"), PoolId.of("p"), "r", 100, 600, 800, 6_000));
        }
        assertTrue(registry.meter("admission.admitted").getCount() > 200);
        assertTrue(registry.meter("admission.rejected").getCount() > 200);
        assertEquals(0, gate.headroomPercent());
        assertFalse(reported.isEmpty());
        assertFalse(gate.mayAccept(100));
    }

    /** Guards against demand that the arbiters do not learn of because its requests were rejected unread. */
    @Test
    void requestsThatWereRejectedUnreadAreReported() {
        gate.admit(new AdmissionRequest(CustomerId.of("a"), PoolId.of("p"), "r", 100, 600, 800, 6_000));
        gate.rejectedUnread(List.of(), 50);
        assertEquals(List.of(new CustomerTokens(PoolId.of("p"), CustomerId.of("a"), 5_000)), reported);
    }

    /** Guards against callers that are rejected because of a single delay, before an overload is known. */
    @Test
    void connectionsMayWaitLongerBeforeAnOverloadIsKnown() {
        assertEquals(200, gate.maxWaitMs());
        for (int i = 0; i < 100; i++) {
            nowMs += 20;
            gate.lagSampled(100);
        }
        assertEquals(100, gate.maxWaitMs());
    }

    /** Guards against changing the decisions of instances that are large or whose processor is not stated. */
    @Test
    void onlySmallStatedProcessorsAreControlled() {
        assertTrue(AdmissionOptions.of(360, rejected -> {}).isActive());
        assertFalse(AdmissionOptions.of(0, rejected -> {}).isActive());
        assertFalse(AdmissionOptions.of(500, rejected -> {}).isActive());
    }
}
