package org.marjoramswitch.kernel.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.CustomerId;

class LoadReportTest {
    private static final CustomerId LARGE = CustomerId.of("large");
    private static final CustomerId SMALL = CustomerId.of("small");

    private final LoadReport report = new LoadReport();

    /** Guards against a log without the customer whose requests an overloaded instance never reads. */
    @Test
    void reportsTheLargestCustomersOnceASecondWhileAnyRequestIsRejected() {
        report.admitted(SMALL, 10.4);
        assertEquals(List.of(), report.takeDue(1_000));
        report.admitted(SMALL, 10.4);
        report.rejected(SMALL, 5);
        report.rejectedUnread(LARGE, 70, 699.6);
        assertEquals(List.of(), report.takeDue(1_999));
        assertEquals(
                List.of(new CustomerLoad(LARGE, 0, 0, 0, 0, 70, 700), new CustomerLoad(SMALL, 1, 10, 1, 5, 0, 0)),
                report.takeDue(2_000));
        assertEquals(List.of(), report.takeDue(3_000));
    }

    /** Guards against state and log lines that grow with the names of customers. */
    @Test
    void reportsAndKeepsABoundedNumberOfCustomers() {
        for (int i = 0; i < 10_000; i++) {
            report.rejected(CustomerId.of("c" + i), 1);
        }
        assertEquals(8, report.takeDue(1_000).size());
    }
}
