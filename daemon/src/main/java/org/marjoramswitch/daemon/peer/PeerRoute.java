package org.marjoramswitch.daemon.peer;

import java.util.Queue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jctools.queues.MpscChunkedArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Holds the state of the connection to one peer: address, bounded ring of queued messages, link and connection attempt.
 *
 * <p>Thread-safety: any thread may offer messages; everything else is confined to the thread of {@link PeerLinks}.
 *
 * <p>Simultaneous open: both instances may connect at the same moment. If each kept the connection it opened, or each
 * the one it accepted, both connections would be closed, repeatedly. The acceptor therefore decides once the initiator
 * is authenticated, by a rule that gives the same result at both ends: if the initiator does not know of the other
 * connection, the one opened by the instance with the smaller id is kept. An initiator sends the id of the last link
 * that was up on its side. If that is the link the acceptor still holds, the initiator has lost it (the connection went
 * silent on one side only), and the new connection replaces it at once, whichever side opened it. For example, if
 * leith-a and leith-b connect simultaneously, leith-a rejects the proof of leith-b, and leith-b accepts that of leith-a
 * and drops its own attempt.
 */
final class PeerRoute {
    private static final int FIRST_CHUNK_MESSAGES = 8;
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    private final InstanceId peer;
    private final Queue<PeerMessage> ring;
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private volatile @Nullable HostPort address;
    private volatile boolean removed;
    private volatile boolean overflowed;
    private volatile boolean disconnectRequested;
    private @Nullable PeerConnection link;
    private @Nullable PeerConnection attempt;
    private long lastLinkId;
    private long wantedUntilMs = Long.MIN_VALUE;
    private long nextAttemptMs = Long.MIN_VALUE;
    private long unreachableSinceMs = -1;
    private int failures;
    private boolean reportedDown;

    private PeerRoute(InstanceId peer, int ringMessages) {
        this.peer = peer;
        this.ring = new MpscChunkedArrayQueue<>(FIRST_CHUNK_MESSAGES, ringMessages);
    }

    static PeerRoute of(InstanceId peer, int ringMessages) {
        return new PeerRoute(peer, ringMessages);
    }

    InstanceId peer() {
        return peer;
    }

    @Nullable
    HostPort address() {
        return address;
    }

    PeerRoute withAddress(HostPort newAddress) {
        removed = false;
        address = newAddress;
        return this;
    }

    /** Removes the address of an unlisted peer; false if the peer has none because it opened the connection itself. */
    boolean removeAddress() {
        if (address == null) {
            return false;
        }
        address = null;
        removed = true;
        return true;
    }

    /** Whether the route can be removed: its peer was unlisted, or never was listed and has no link. */
    boolean isObsolete() {
        return removed || (address == null && link == null);
    }

    /** Queues a message; false if the ring is full, in which case the link must be closed. */
    boolean offer(PeerMessage message) {
        if (overflowed || !ring.offer(message)) {
            overflowed = true;
            return false;
        }
        return true;
    }

    /** Returns true for the first call since {@link #unschedule}. */
    boolean schedule() {
        return scheduled.compareAndSet(false, true);
    }

    void unschedule() {
        scheduled.set(false);
    }

    /** Requests that the link, if there is one, be closed. */
    void requestDisconnect() {
        disconnectRequested = true;
    }

    /** Returns whether closing was requested, and clears the request. */
    boolean takeDisconnectRequest() {
        boolean requested = disconnectRequested;
        disconnectRequested = false;
        return requested;
    }

    boolean hasOverflowed() {
        return overflowed;
    }

    @Nullable
    PeerMessage poll() {
        return ring.poll();
    }

    boolean hasMessages() {
        return !ring.isEmpty();
    }

    void clear(PeerMetrics metrics) {
        PeerMessage message = ring.poll();
        while (message != null) {
            metrics.dropped(message);
            message = ring.poll();
        }
        overflowed = false;
    }

    @Nullable
    PeerConnection link() {
        return link;
    }

    @Nullable
    PeerConnection attempt() {
        return attempt;
    }

    long lastLinkId() {
        return lastLinkId;
    }

    /** Records that a message was sent to the peer; until the given time a lost link is reopened. */
    void markWanted(long untilMs) {
        wantedUntilMs = untilMs;
    }

    boolean isConnectDue(long nowMs) {
        return link == null && attempt == null && address != null && wantsLink(nowMs) && nowMs >= nextAttemptMs;
    }

    /** Whether messages are queued or were sent recently, so that a link is needed. */
    boolean wantsLink(long nowMs) {
        return hasMessages() || nowMs < wantedUntilMs;
    }

    void attemptStarted(PeerConnection connection, long nowMs) {
        attempt = connection;
        if (unreachableSinceMs < 0) {
            unreachableSinceMs = nowMs;
        }
    }

    void attemptEnded() {
        attempt = null;
    }

    /** Delays the next connection attempt after a failure, with exponential backoff and jitter. */
    void backOff(long nowMs, PeerLinkOptions options, double random) {
        long delayMs = options.backoffMinMs() << Math.min(failures, MAX_BACKOFF_DOUBLINGS);
        failures++;
        nextAttemptMs = nowMs + Math.round(Math.min(delayMs, options.backoffMaxMs()) * (0.5 + random / 2));
        if (link == null && unreachableSinceMs < 0) {
            unreachableSinceMs = nowMs;
        }
    }

    boolean isUnreachable(long nowMs, PeerLinkOptions options) {
        return link == null && unreachableSinceMs >= 0 && nowMs - unreachableSinceMs > options.unreachableAfterMs();
    }

    /** Returns true for the first call since the last link came up. */
    boolean markReportedDown() {
        boolean first = !reportedDown;
        reportedDown = true;
        return first;
    }

    void linkUp(PeerConnection connection) {
        link = connection;
        attempt = null;
        lastLinkId = connection.linkId();
        unreachableSinceMs = -1;
        reportedDown = false;
    }

    void linkLost(long upSinceMs, long nowMs, PeerLinkOptions options) {
        link = null;
        // Keeps backing off while links are closed right after they come up.
        if (nowMs - upSinceMs > options.backoffMaxMs()) {
            failures = 0;
        }
    }

    /** Whether the connection of an authenticated peer becomes the link; the class comment states the rule. */
    boolean admits(InstanceId self, Handshake handshake, long peerLastLinkId) {
        boolean peerHasSmallerId = peer.compareTo(self) < 0;
        if (link != null) {
            long linkIncarnation = link.handshake().peerIncarnation();
            if (handshake.peerIncarnation() != linkIncarnation) {
                return handshake.peerIncarnation() > linkIncarnation;
            }
            boolean lostByPeer = peerLastLinkId == link.linkId();
            return lostByPeer || !link.handshake().isInitiator() || peerHasSmallerId;
        }
        boolean simultaneousOpen = attempt != null
                && attempt.handshake().hasSentProof()
                && attempt.handshake().peerIncarnation() == handshake.peerIncarnation();
        return !simultaneousOpen || peerHasSmallerId;
    }
}
