package org.marjoramswitch.tool.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.tool.load.LoadReport.CustomerReport;
import org.marjoramswitch.tool.load.LoadReport.Percentiles;

class LoadReportTextTest {
    private static final Percentiles NONE = new Percentiles(0, 0, 0, 0, 0);

    @Test
    void formatsARowPerCustomerTheFailuresAndASummary() {
        CustomerReport large = new CustomerReport(
                "soudure-dakar",
                1_000,
                960,
                20,
                10,
                7,
                3,
                42,
                new Percentiles(800, 12.04, 230.5, 1_200, 2_000),
                new Percentiles(90_000, 4, 8.25, 20, 400),
                new Percentiles(960, 900, 3_100.75, 5_000, 9_000),
                new TreeMap<>(Map.of("BROKEN connection broke, status 200", 7L, "SILENT silent", 3L)));
        CustomerReport idle = new CustomerReport("essais", 0, 0, 0, 0, 0, 0, 0, NONE, NONE, NONE, Map.of());
        Approvals.verify(LoadReportText.of(new LoadReport("thies", 1, 10_500, 4, List.of(idle, large))));
    }
}
