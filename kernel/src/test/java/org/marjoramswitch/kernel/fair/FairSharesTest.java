package org.marjoramswitch.kernel.fair;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.CustomerId;

class FairSharesTest {
    private static final CustomerId A = CustomerId.of("a");
    private static final CustomerId B = CustomerId.of("b");
    private static final double ESTIMATE = 200;
    private static final int CREDIT_GRANTS = 10;

    @Test
    void servesTheLeastChargedFirst() {
        FairShares shares = FairShares.create(customer -> 1, ESTIMATE);
        shares.waiting(A, 5);
        shares.waiting(B, 5);

        shares.charge(A, 100);

        assertEquals(B, next(shares));
    }

    @Test
    void weightDividesTheCharge() {
        FairShares shares = FairShares.create(customer -> customer.equals(A) ? 4 : 1, ESTIMATE);
        shares.waiting(A, 1_000);
        shares.waiting(B, 1_000);

        Map<CustomerId, Integer> grants = serve(shares, 500, customer -> 100);

        assertEquals(400, grants.get(A), 2);
        assertEquals(100, grants.get(B), 2);
    }

    @Test
    void newCustomerStartsAtTheFloorLessTheCredit() {
        FairShares shares = FairShares.create(customer -> 1, ESTIMATE);
        shares.waiting(A, 1_000);
        serve(shares, 100, customer -> 100);

        shares.waiting(B, 1_000);
        Map<CustomerId, Integer> grants = serve(shares, 100, customer -> 100);

        assertEquals((100 - CREDIT_GRANTS) / 2, grants.get(A), 1);
        assertEquals((100 + CREDIT_GRANTS) / 2, grants.get(B), 1);
    }

    @Test
    void streamOfNewCustomersDoesNotStarveAnEarlierOne() {
        // Customers arrive one after the other, each with a burst within its credit. If each were raised to the current
        // least counter, it would start one credit below its predecessor, and the first customer would wait for all.
        FairShares shares = FairShares.create(customer -> 1, ESTIMATE);
        shares.waiting(A, 1_000);
        serve(shares, 100, customer -> 100);
        for (int i = 0; i < 50; i++) {
            shares.waiting(CustomerId.of("n" + i), 1_000);
        }

        assertEquals(-1_000, shares.lead(CustomerId.of("n49")), 1e-9);
    }

    @Test
    void pausingDoesNotIncreaseTheShare() {
        FairShares shares = FairShares.create(customer -> 1, ESTIMATE);
        shares.waiting(A, 1_000);
        shares.waiting(B, 1_000);
        int grantsOfB = 0;
        for (int round = 0; round < 50; round++) {
            shares.waiting(B, 0);
            shares.waiting(B, 1_000);
            grantsOfB += serve(shares, 10, customer -> 100).getOrDefault(B, 0);
        }

        assertEquals(250, grantsOfB, 1);
    }

    @Test
    void floorIsKeptWhenTheOnlyBacklogEnds() {
        FairShares shares = FairShares.create(customer -> 1, ESTIMATE);
        shares.waiting(A, 1);
        shares.charge(A, 10_000);
        shares.waiting(A, 0);

        shares.waiting(B, 1);
        shares.waiting(A, 1);

        assertEquals(0, shares.lead(A), 1e-9);
        assertEquals(-CREDIT_GRANTS * 100, shares.lead(B), 1e-9);
    }

    @Test
    void expectedRemainingCostIsAtLeastHalfTheEstimate() {
        assertEquals(200, FairShares.expectedCostTokens(0, 200));
        assertEquals(200, FairShares.expectedCostTokens(100, 200));
        assertEquals(290, FairShares.expectedCostTokens(190, 200));
        assertEquals(1_100, FairShares.expectedCostTokens(1_000, 200));
    }

    @Test
    void adoptedLeadIsNotRaisedToTheFloor() {
        FairShares shares = FairShares.create(customer -> 1, ESTIMATE);
        shares.adopt(A, 300);
        shares.waiting(A, 1);
        shares.adopt(B, -300);
        shares.waiting(B, 1);

        assertEquals(B, next(shares));
    }

    @Test
    void countersAreConservedUnderRandomCharges() {
        FairShares shares = FairShares.create(customer -> 1, ESTIMATE);
        Random random = new Random(5);
        double charged = 0;
        for (int i = 0; i < 1_000; i++) {
            CustomerId customer = CustomerId.of("c" + random.nextInt(5));
            shares.waiting(customer, random.nextInt(3));
            double tokens = random.nextInt(400) - 100;
            shares.charge(customer, tokens);
            charged += tokens;
        }

        double sum = 0;
        for (CustomerAccount account : shares.accounts()) {
            sum += account.chargedTokens();
        }

        assertEquals(charged, sum, 1e-6);
    }

    private static CustomerId next(FairShares shares) {
        CustomerAccount least = shares.least();
        assertNotNull(least);
        return least.customer();
    }

    private static Map<CustomerId, Integer> serve(
            FairShares shares, int grants, java.util.function.ToDoubleFunction<CustomerId> cost) {
        Map<CustomerId, Integer> granted = new HashMap<>();
        for (int i = 0; i < grants; i++) {
            CustomerId customer = next(shares);
            granted.merge(customer, 1, Integer::sum);
            shares.charge(customer, cost.applyAsDouble(customer));
        }
        assertTrue(granted.values().stream().mapToInt(Integer::intValue).sum() == grants);
        return granted;
    }
}
