package org.marjoramswitch.daemon.platform;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

/** The counts of what passes between this instance and the platform's service. */
final class PlatformMetrics {
    /** What differs between two calls of one kind, the numbers of leases and the queries, and what is the same in all. */
    private static final Pattern NAMES_OF_ONE_CALL = Pattern.compile("^/v3|^/-|/[0-9]+$|\\?.*$");

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

    void sent(String path) {
        calls.incrementAndGet();
        registry.meter("platform.calls"
                        + NAMES_OF_ONE_CALL.matcher(path).replaceAll("").replace('/', '.'))
                .mark();
    }

    void ended(String result) {
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
