package org.marjoramswitch.daemon.platform;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

/** Counts the calls between this instance and the platform's key-value store. */
final class PlatformMetrics {
    /** Parts of a path left out of a metric's name: the common prefix, lease ids and query strings. */
    private static final Pattern NON_NAME_PATH_PARTS = Pattern.compile("^/v3|^/-|/[0-9]+$|\\?.*$");

    private final MetricRegistry registry;
    private final AtomicLong calls = new AtomicLong();
    private final Meter budgetSpent;
    private final Meter addressFailed;
    private final Meter rateLimited;

    private PlatformMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.budgetSpent = registry.meter("platform.budget-spent");
        this.addressFailed = registry.meter("platform.address-failed");
        this.rateLimited = registry.meter("platform.rate-limited");
    }

    static PlatformMetrics in(MetricRegistry registry) {
        return new PlatformMetrics(registry);
    }

    void countCall(String path) {
        calls.incrementAndGet();
        registry.meter("platform.calls"
                        + NON_NAME_PATH_PARTS.matcher(path).replaceAll("").replace('/', '.'))
                .mark();
    }

    void countResult(String result) {
        registry.meter("platform.results." + result).mark();
    }

    void budgetSpent() {
        budgetSpent.mark();
    }

    void addressFailed() {
        addressFailed.mark();
    }

    void rateLimited() {
        rateLimited.mark();
    }

    void watchRenewed() {
        registry.meter("platform.watch-renewed").mark();
    }

    void watchBroken() {
        registry.meter("platform.watch-broken").mark();
    }

    long calls() {
        return calls.get();
    }
}
