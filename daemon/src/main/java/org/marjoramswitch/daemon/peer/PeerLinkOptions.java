package org.marjoramswitch.daemon.peer;

/**
 * Timeouts and limits of the links between instances.
 *
 * @param lingerMs how long a queued message waits to share a frame with later messages
 * @param heartbeatIntervalMs maximum time for which an active link sends nothing; an entry instance that waits for
 *     grants probes its arbiter at a shorter interval, so heartbeats only detect connections that go silent while
 *     nothing waits
 * @param silentAfterMs an active link that has received nothing for this long is closed
 * @param activeForMs a link is active for this long after its last message other than a heartbeat
 * @param wantedForMs a lost link is reopened if a message was sent to the peer within this time
 * @param idleAfterMs a link without messages for this long is closed, which bounds the number of open links
 * @param handshakeTimeoutMs maximum time from opening a connection to completing its handshake
 * @param unreachableAfterMs messages for a peer that has been unreachable for this long are dropped
 * @param backoffMinMs initial delay between connection attempts, doubled up to {@code backoffMaxMs}
 * @param ringMessages maximum number of messages queued for one link
 */
public record PeerLinkOptions(
        long lingerMs,
        long heartbeatIntervalMs,
        long silentAfterMs,
        long activeForMs,
        long wantedForMs,
        long idleAfterMs,
        long handshakeTimeoutMs,
        long unreachableAfterMs,
        long backoffMinMs,
        long backoffMaxMs,
        int ringMessages) {
    public static final long DEFAULT_LINGER_MS = 2;
    public static final long DEFAULT_HEARTBEAT_INTERVAL_MS = 1_000;
    public static final long DEFAULT_SILENT_AFTER_MS = 3_000;
    public static final long DEFAULT_ACTIVE_FOR_MS = 5_000;
    public static final long DEFAULT_WANTED_FOR_MS = 30_000;
    public static final long DEFAULT_IDLE_AFTER_MS = 300_000;
    public static final long DEFAULT_HANDSHAKE_TIMEOUT_MS = 1_000;
    public static final long DEFAULT_UNREACHABLE_AFTER_MS = 1_000;
    public static final long DEFAULT_BACKOFF_MIN_MS = 20;
    public static final long DEFAULT_BACKOFF_MAX_MS = 2_000;
    public static final int DEFAULT_RING_MESSAGES = 4_096;

    public static final PeerLinkOptions DEFAULTS = new PeerLinkOptions(
            DEFAULT_LINGER_MS,
            DEFAULT_HEARTBEAT_INTERVAL_MS,
            DEFAULT_SILENT_AFTER_MS,
            DEFAULT_ACTIVE_FOR_MS,
            DEFAULT_WANTED_FOR_MS,
            DEFAULT_IDLE_AFTER_MS,
            DEFAULT_HANDSHAKE_TIMEOUT_MS,
            DEFAULT_UNREACHABLE_AFTER_MS,
            DEFAULT_BACKOFF_MIN_MS,
            DEFAULT_BACKOFF_MAX_MS,
            DEFAULT_RING_MESSAGES);
}
