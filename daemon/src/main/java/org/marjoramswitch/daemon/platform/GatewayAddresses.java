package org.marjoramswitch.daemon.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.marjoramswitch.daemon.settings.HostPort;

/**
 * Selects the store address for the next call. The current address is kept while it responds; a failed one is backed
 * off for a random time below a bound that doubles with each failure (full jitter), so that instances whose calls
 * failed at the same time do not retry at the same time. After a backoff a single read probes the address: all reads
 * of the instance would fail for the same reason, and the store counts each of them.
 */
final class GatewayAddresses {
    private static final int MAX_DOUBLINGS = 16;

    private final List<Health> addresses = new ArrayList<>();
    private final KeyValueOptions.Backoff backoff;
    private final Random random;
    private int current;

    private GatewayAddresses(List<HostPort> addresses, KeyValueOptions options) {
        addresses.forEach(address -> this.addresses.add(new Health(address)));
        this.backoff = options.backoff();
        this.random = new Random(options.seed());
        this.current = random.nextInt(addresses.size());
    }

    static GatewayAddresses of(List<HostPort> addresses, KeyValueOptions options) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("no address of the platform's key-value store is configured");
        }
        return new GatewayAddresses(addresses, options);
    }

    int size() {
        return addresses.size();
    }

    /** Time until the next address may be tried, 0 if one may be tried now. */
    long waitMs(long nowMs) {
        long earliestMs = addresses.stream()
                .mapToLong(health -> health.backoffUntilMs)
                .min()
                .orElse(nowMs);
        return Math.max(0, earliestMs - nowMs);
    }

    /** The current address, or the next one that is not in backoff. */
    HostPort choose(long nowMs) {
        for (int step = 0; step < addresses.size(); step++) {
            int candidate = (current + step) % addresses.size();
            if (addresses.get(candidate).backoffUntilMs <= nowMs) {
                current = candidate;
                break;
            }
        }
        return addresses.get(current).address;
    }

    /**
     * Whether a read may be sent to the address now: it works, or the read becomes its only probe, whose end must be
     * reported.
     */
    boolean tryUse(HostPort address) {
        Health health = find(address);
        if (health.failures == 0) {
            return true;
        }
        boolean isProbe = !health.probing;
        health.probing = true;
        return isProbe;
    }

    /** Ends a probe that was not sent. */
    void probeAbandoned(HostPort address) {
        find(address).probing = false;
    }

    void succeeded(HostPort address) {
        Health health = find(address);
        health.probing = false;
        health.failures = 0;
        health.backoffUntilMs = 0;
    }

    /** Backs the address off. Failures of concurrent calls with the same cause count as one. */
    void failed(HostPort address, long nowMs) {
        Health health = find(address);
        health.probing = false;
        if (health.backoffUntilMs > nowMs) {
            return;
        }
        health.backoffUntilMs = nowMs + backoffMs(health.failures);
        health.failures++;
    }

    /** A random backoff after {@code failures} earlier failures, at least 1 ms. */
    long backoffMs(int failures) {
        long boundMs = Math.min(backoff.maxMs(), backoff.firstMs() << Math.min(failures, MAX_DOUBLINGS));
        return 1 + (long) (random.nextDouble() * boundMs);
    }

    private Health find(HostPort address) {
        return addresses.stream()
                .filter(health -> health.address.equals(address))
                .findFirst()
                .orElseThrow();
    }

    private static final class Health {
        private final HostPort address;
        private int failures;
        private long backoffUntilMs;
        private boolean probing;

        private Health(HostPort address) {
            this.address = address;
        }
    }
}
