package org.marjoramswitch.tool.load;

import java.util.List;
import java.util.Locale;
import org.marjoramswitch.tool.load.LoadReport.CustomerReport;
import org.marjoramswitch.tool.load.LoadReport.Percentiles;

/** Formats a report as text: a table row per customer, a line per kind of failed attempt, and a summary line. */
public final class LoadReportText {
    private LoadReportText() {}

    public static String of(LoadReport report) {
        StringBuilder text = new StringBuilder();
        text.append(row(
                "customer",
                "requests",
                "answered",
                "not-run",
                "unknown",
                "broken",
                "lost",
                "retries",
                "first token p50/95/99",
                "between p50/95/99",
                "total p50/95/99 ms"));
        report.customers().forEach(customer -> text.append(customerRow(customer)));
        appendFailures(text, report.customers());
        return text.append(summary(report)).append('\n').toString();
    }

    /** Returns the totals as one line of key=value pairs. */
    public static String summary(LoadReport report) {
        return "event=load_summary scenario=" + report.scenario() + " seed=" + report.seed() + " duration_ms="
                + report.durationMs() + " requests=" + report.requests() + " answered=" + report.answered()
                + " refused_not_run=" + report.refusedNotRun() + " unknown=" + report.unknown() + " broken="
                + report.broken() + " lost=" + report.lost() + " retries=" + report.retries() + " not_made="
                + report.notMade();
    }

    private static String customerRow(CustomerReport customer) {
        return row(
                customer.customer(),
                customer.requests(),
                customer.answered(),
                customer.refusedNotRun(),
                customer.unknown(),
                customer.broken(),
                customer.lost(),
                customer.retries(),
                percentilesText(customer.firstToken()),
                percentilesText(customer.betweenTokens()),
                percentilesText(customer.total()));
    }

    private static void appendFailures(StringBuilder text, List<CustomerReport> customers) {
        for (CustomerReport customer : customers) {
            customer.troubles()
                    .forEach((failure, count) -> text.append("event=load_trouble customer=")
                            .append(customer.customer())
                            .append(" attempts=")
                            .append(count)
                            .append(" what=\"")
                            .append(failure)
                            .append("\"\n"));
        }
    }

    private static String row(Object... cells) {
        String line = String.format(Locale.ROOT, "%-20s %9s %9s %8s %8s %7s %6s %8s  %-22s %-22s %-22s", cells);
        return line.stripTrailing() + "\n";
    }

    private static String percentilesText(Percentiles percentiles) {
        if (percentiles.count() == 0) {
            return "-";
        }
        return String.format(
                Locale.ROOT, "%.1f/%.1f/%.1f", percentiles.p50Ms(), percentiles.p95Ms(), percentiles.p99Ms());
    }
}
