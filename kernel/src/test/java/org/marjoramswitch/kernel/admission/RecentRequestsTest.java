package org.marjoramswitch.kernel.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.message.PeerMessage.CustomerTokens;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

class RecentRequestsTest {
    private static final PoolId POOL = PoolId.of("p");
    private static final CustomerId LARGE = CustomerId.of("large");
    private static final CustomerId SMALL = CustomerId.of("small");

    private final RecentRequests recent = new RecentRequests();
    private final RejectedTokens rejected = new RejectedTokens();

    /** Guards against a customer with few requests being charged for the unread requests of a flooding one. */
    @Test
    void unreadRequestsAreCountedInProportionToRecentOnes() {
        for (int i = 0; i < 9; i++) {
            recent.add(POOL, LARGE, 10, 1_000);
        }
        recent.add(POOL, SMALL, 200, 1_000);
        recent.distribute(100, 1_000, rejected);
        assertEquals(
                List.of(new CustomerTokens(POOL, SMALL, 2_000), new CustomerTokens(POOL, LARGE, 900)),
                rejected.takeDue(2_000));
    }

    /** Guards against demand that is reported for a customer whose requests have ended. */
    @Test
    void customerThatSendsNothingMoreIsForgotten() {
        for (int i = 0; i < 100; i++) {
            recent.add(POOL, LARGE, 10, 1_000);
        }
        recent.add(POOL, SMALL, 10, 61_000);
        recent.distribute(7, 61_000, rejected);
        assertEquals(List.of(new CustomerTokens(POOL, SMALL, 70)), rejected.takeDue(61_000));
    }

    /** Guards against demand that is never known of customers whose requests an instance reads first, or after a long pause. */
    @Test
    void requestsAreCountedAtTheTimesOfAnInstancesClock() {
        for (long startMs : List.of(1_790_000_000_000L, 1_790_000_000_000L + 86_400_000)) {
            for (int i = 0; i < 10; i++) {
                recent.add(POOL, LARGE, 10, startMs + i);
            }
            recent.distribute(7, startMs + 10, rejected);
            assertEquals(List.of(new CustomerTokens(POOL, LARGE, 70)), rejected.takeDue(startMs + 1_000));
        }
    }

    /** Guards against a report that names anyone while nothing is known of who calls. */
    @Test
    void nothingIsReportedBeforeAnyRequestWasRead() {
        recent.distribute(7, 1_000, rejected);
        assertTrue(rejected.takeDue(2_000).isEmpty());
    }

    /** Guards against memory that grows with the number of customers. */
    @Test
    void furtherCustomersAreNotCounted() {
        for (int i = 0; i < 1_000; i++) {
            recent.add(POOL, CustomerId.of("c" + i), 10, 1_000);
        }
        recent.distribute(25_600, 1_000, rejected);
        assertEquals(16, rejected.takeDue(2_000).size());
        assertEquals(256, recent.size());
    }
}
