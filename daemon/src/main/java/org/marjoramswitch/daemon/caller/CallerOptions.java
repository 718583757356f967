package org.marjoramswitch.daemon.caller;

import org.marjoramswitch.kernel.request.KeyLimits;

/**
 * Limits and timeouts of the caller-facing server.
 *
 * @param ioThreads threads that read and write connections
 * @param maxConnections maximum number of open connections; further ones wait to be accepted
 * @param maxRequests maximum number of requests that are being read, are waiting or are being responded to
 * @param maxBodyBytes maximum size of a request body
 * @param maxBufferedBytes memory budget of all open requests and responses; by default a share of the heap
 * @param maxUnreadBytes unread bytes of a response at which a slow caller's connection is closed
 * @param maxCachedResponseBytes size of the largest response that is cached for a later attempt with its request key
 * @param maxCacheBytes size of all cached responses; a part of {@code maxBufferedBytes}
 * @param cheapRejections whether a lagging instance rejects requests with {@link CheapRejections}
 * @param times timeouts and intervals
 * @param keyLimits limits of the registry of request keys
 */
public record CallerOptions(
        int ioThreads,
        int maxConnections,
        int maxRequests,
        long maxBodyBytes,
        long maxBufferedBytes,
        int maxUnreadBytes,
        int maxCachedResponseBytes,
        long maxCacheBytes,
        boolean cheapRejections,
        Times times,
        KeyLimits keyLimits) {

    /**
     * Timeouts and intervals of the caller-facing server.
     *
     * @param headTimeoutMs how long the head of a request may take to arrive
     * @param bodyTimeoutMs how long the body may take
     * @param idleTimeoutMs how long a connection may be idle between requests, and how long a caller may accept no byte
     * @param keepAliveMs interval of comments in an idle event stream
     * @param addressLifetimeMs lifetime of an address response at the caller
     * @param reattachGraceMs how long a repeatable request with a key continues without a caller
     * @param homeTimeoutMs how long another instance may take to respond to a query of a key
     */
    public record Times(
            int headTimeoutMs,
            int bodyTimeoutMs,
            int idleTimeoutMs,
            int keepAliveMs,
            int addressLifetimeMs,
            int reattachGraceMs,
            int homeTimeoutMs) {
        static final Times DEFAULTS = new Times(10_000, 10_000, 60_000, 5_000, 30_000, 10_000, 1_000);
    }

    public static CallerOptions defaults() {
        return builder().build();
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Collects the options that differ from the defaults. */
    public static final class Builder {
        private static final int IO_THREADS = 2;
        private static final int MAX_CONNECTIONS = 4_000;
        private static final int MAX_REQUESTS = 4_000;
        private static final long MIB = 1L << 20;

        private int maxConnections = MAX_CONNECTIONS;
        private int maxRequests = MAX_REQUESTS;
        private long maxBodyBytes = 4 * MIB;
        private long maxBufferedBytes =
                MemoryBudget.maxBytesOfHeap(Runtime.getRuntime().maxMemory());
        private int maxUnreadBytes = (int) (4 * MIB);
        private int maxCachedResponseBytes = (int) MIB;
        private long maxCacheBytes = Math.min(16 * MIB, maxBufferedBytes / 3);
        private boolean cheapRejections;
        private Times times = Times.DEFAULTS;
        private KeyLimits keyLimits = KeyLimits.defaults();

        private Builder() {}

        public Builder maxConnections(int connections) {
            maxConnections = connections;
            return this;
        }

        public Builder maxRequests(int requests) {
            maxRequests = requests;
            return this;
        }

        public Builder maxBodyBytes(long bytes) {
            maxBodyBytes = bytes;
            return this;
        }

        public Builder maxBufferedBytes(long bytes) {
            maxBufferedBytes = bytes;
            return this;
        }

        public Builder maxUnreadBytes(int bytes) {
            maxUnreadBytes = bytes;
            return this;
        }

        /**
         * Sets the limits of cached responses.
         *
         * @param responseBytes size of the largest cached response
         * @param allBytes size of all cached responses
         */
        public Builder maxCached(int responseBytes, long allBytes) {
            maxCachedResponseBytes = responseBytes;
            maxCacheBytes = allBytes;
            return this;
        }

        public Builder cheapRejections(boolean enabled) {
            cheapRejections = enabled;
            return this;
        }

        public Builder times(Times newTimes) {
            times = newTimes;
            return this;
        }

        public Builder keyLimits(KeyLimits limits) {
            keyLimits = limits;
            return this;
        }

        public CallerOptions build() {
            return new CallerOptions(
                    IO_THREADS,
                    maxConnections,
                    maxRequests,
                    maxBodyBytes,
                    maxBufferedBytes,
                    maxUnreadBytes,
                    maxCachedResponseBytes,
                    maxCacheBytes,
                    cheapRejections,
                    times,
                    keyLimits);
        }
    }
}
