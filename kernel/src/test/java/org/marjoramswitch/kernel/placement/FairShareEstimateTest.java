package org.marjoramswitch.kernel.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.CustomerId;

class FairShareEstimateTest {
    private static final CustomerId BEST = CustomerId.of("best");
    private static final CustomerId SHORT = CustomerId.of("short");
    private static final CustomerId SMALL = CustomerId.of("small");

    /** Guards against a log that names customers that get what they ask for, or misses one whose demand never arrived. */
    @Test
    void namesCustomersThatGetMuchLessThanTheyAskForAndThanTheBest() {
        FairShareEstimate estimate = new FairShareEstimate();
        for (long nowMs = 10_000; nowMs < 12_000; nowMs += 10) {
            estimate.recordDemand(BEST, 100, nowMs);
            estimate.recordCharge(BEST, 100, 1, nowMs);
            estimate.recordDemand(SMALL, 10, nowMs);
            estimate.recordCharge(SMALL, 10, 1, nowMs);
            estimate.recordRejectedDemand(SHORT, 70, nowMs);
            estimate.recordCharge(SHORT, 30, 1, nowMs);
        }
        List<CustomerId> named = estimate.underserved(12_000).stream()
                .map(FairShareEstimate.Underserved::customer)
                .toList();
        assertEquals(List.of(SHORT), named);
    }
}
