package org.marjoramswitch.daemon.configuration;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counters of the configuration loop.
 *
 * @param rounds acceptance rounds started
 * @param publications generations published by this instance
 * @param publicationsLost publications that failed because another acceptor published first
 * @param callsFailed calls to the key-value store that failed or whose outcome is unknown
 * @param refusalsWritten refusals written or removed by this instance
 * @param inboxFull tasks dropped because the loop's ring was full
 */
record ConfigurationMetrics(
        Counter rounds,
        Counter publications,
        Counter publicationsLost,
        Counter callsFailed,
        Counter refusalsWritten,
        Counter inboxFull) {

    static ConfigurationMetrics in(MetricRegistry registry) {
        return new ConfigurationMetrics(
                registry.counter("configuration.rounds"),
                registry.counter("configuration.publications"),
                registry.counter("configuration.publications_lost"),
                registry.counter("configuration.calls_failed"),
                registry.counter("configuration.refusals_written"),
                registry.counter("configuration.inbox_full"));
    }
}
