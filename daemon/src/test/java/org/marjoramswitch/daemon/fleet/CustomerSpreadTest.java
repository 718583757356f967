package org.marjoramswitch.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.misc.Rendezvous;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;

class CustomerSpreadTest {
    private static final CustomerId CUSTOMER = CustomerId.of("grande-ligne");
    private static final long ADDRESS_TTL_MS = 30_000;
    private static final List<InstanceId> INSTANCES = IntStream.rangeClosed(1, 9)
            .mapToObj(i -> InstanceId.of("entry-" + i))
            .toList();
    private static final List<InstanceId> ORDER = Rendezvous.rank(CUSTOMER.name(), INSTANCES);

    private int open;

    @Test
    void smallCustomerStaysOnOneInstance() {
        CustomerSpread spread = spreadAt(0);
        open = 10;
        assertEquals(1, spread.spread(CUSTOMER, INSTANCES, 0));
    }

    /** The callers follow the spread after each period; the estimate converges to the number of instances needed. */
    @Test
    void spreadOfALargeCustomerGrowsUntilItsWorkFitsAndStaysThere() {
        CustomerSpread spread = spreadAt(0);
        double instances = 1;
        for (int period = 0; period < 20; period++) {
            open = (int) Math.round(200 / instances);
            instances = spread.spread(CUSTOMER, INSTANCES, period * ADDRESS_TTL_MS);
        }
        assertTrue(instances > 6 && instances < 6.6, "spread over " + instances);
    }

    @Test
    void manyCallsInOnePeriodDoNotMultiplyTheSpread() {
        CustomerSpread spread = spreadAt(0);
        open = 200;
        for (int i = 0; i < 1_000; i++) {
            assertEquals(2, spread.spread(CUSTOMER, INSTANCES, i));
        }
    }

    @Test
    void idleCustomerReturnsToOneInstance() {
        CustomerSpread spread = spreadAt(0);
        open = 200;
        spread.spread(CUSTOMER, INSTANCES, 0);
        spread.spread(CUSTOMER, INSTANCES, ADDRESS_TTL_MS);
        open = 0;
        for (int period = 2; period < 6; period++) {
            spread.spread(CUSTOMER, INSTANCES, period * ADDRESS_TTL_MS);
        }
        assertEquals(1, spread.spread(CUSTOMER, INSTANCES, 6 * ADDRESS_TTL_MS));
    }

    /** The third instance in the customer's order has no estimate; it infers a spread from the work that it holds. */
    @Test
    void instanceLaterInTheOrderDoesNotSendTheWorkBack() {
        CustomerSpread spread = spreadAt(2);
        open = 20;
        assertEquals(3, spread.spread(CUSTOMER, INSTANCES, 0));
        open = 3;
        assertTrue(spread.spread(CUSTOMER, INSTANCES, ADDRESS_TTL_MS) < 3);
    }

    private CustomerSpread spreadAt(int rank) {
        return CustomerSpread.of(ORDER.get(rank), customer -> open, ADDRESS_TTL_MS);
    }
}
