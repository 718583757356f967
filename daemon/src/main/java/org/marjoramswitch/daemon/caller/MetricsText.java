package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Renders a metric registry in the Prometheus text format or as JSON. */
final class MetricsText {
    private static final String PREFIX = "marjoramswitch_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private MetricsText() {}

    static byte[] prometheus(MetricRegistry registry) {
        StringBuilder out = new StringBuilder();
        // Latencies and gauges come before the many counters: collectors that cap the page size drop its end.
        registry.getTimers()
                .forEach((name, timer) ->
                        appendSummary(out, name + "_seconds", timer.getSnapshot(), timer.getCount(), secondsPerNano()));
        registry.getHistograms()
                .forEach((name, histogram) ->
                        appendSummary(out, name, histogram.getSnapshot(), histogram.getCount(), 1));
        registry.getGauges().forEach((name, gauge) -> appendGauge(out, name, gauge));
        registry.getMeters().forEach((name, meter) -> appendValue(out, name + "_total", "counter", meter.getCount()));
        registry.getCounters().forEach((name, counter) -> appendValue(out, name, "gauge", counter.getCount()));
        return out.toString().getBytes(StandardCharsets.UTF_8);
    }

    static byte[] json(MetricRegistry registry) {
        ObjectNode root = Json.object();
        registry.getGauges().forEach((name, gauge) -> putNumber(root, name, gauge.getValue()));
        registry.getCounters().forEach((name, counter) -> root.put(name, counter.getCount()));
        registry.getMeters().forEach((name, meter) -> root.put(name, meter.getCount()));
        registry.getHistograms().forEach((name, histogram) -> root.set(name, summary(histogram)));
        registry.getTimers().forEach((name, timer) -> root.set(name, summary(timer)));
        return Json.bytes(root);
    }

    private static void appendGauge(StringBuilder out, String name, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number number) {
            appendValue(out, name, "gauge", number);
        }
    }

    private static void appendValue(StringBuilder out, String name, String type, Number value) {
        String id = PREFIX + identifier(name);
        out.append("# TYPE ").append(id).append(' ').append(type).append('\n');
        out.append(id).append(' ').append(value).append('\n');
    }

    private static void appendSummary(StringBuilder out, String name, Snapshot snapshot, long count, double scale) {
        String id = PREFIX + identifier(name);
        out.append("# TYPE ").append(id).append(" summary\n");
        for (double quantile : QUANTILES) {
            out.append(id).append("{quantile=\"").append(quantile).append("\"} ");
            out.append(snapshot.getValue(quantile) * scale).append('\n');
        }
        out.append(id).append("_count ").append(count).append('\n');
    }

    private static void putNumber(ObjectNode root, String name, Object value) {
        if (value instanceof Double || value instanceof Float) {
            root.put(name, ((Number) value).doubleValue());
        } else if (value instanceof Number number) {
            root.put(name, number.longValue());
        }
    }

    private static ObjectNode summary(Histogram histogram) {
        return summary(histogram.getSnapshot(), histogram.getCount(), 1);
    }

    private static ObjectNode summary(Timer timer) {
        return summary(timer.getSnapshot(), timer.getCount(), secondsPerNano());
    }

    private static ObjectNode summary(Snapshot snapshot, long count, double scale) {
        ObjectNode node = Json.object();
        node.put("count", count);
        for (double quantile : QUANTILES) {
            node.put("p" + Math.round(quantile * 100), snapshot.getValue(quantile) * scale);
        }
        return node;
    }

    private static String identifier(String name) {
        return name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_");
    }

    private static double secondsPerNano() {
        return 1.0 / TimeUnit.SECONDS.toNanos(1);
    }
}
