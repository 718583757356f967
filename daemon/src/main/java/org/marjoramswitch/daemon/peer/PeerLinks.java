package org.marjoramswitch.daemon.peer;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.wire.DecodeResult;

/**
 * Manages the TCP links to the other instances on one thread with one selector, independent of the number of peers.
 *
 * <p>A link is opened by the first message for its peer, or by the peer. Messages queued within
 * {@link PeerLinkOptions#lingerMs} of each other are sent in one frame. A link with traffic carries heartbeats in both
 * directions; if it receives nothing for {@link PeerLinkOptions#silentAfterMs}, it is closed, reported as down and,
 * while the peer is wanted, reopened. An idle link carries no heartbeats: the failure detector monitors whether its
 * peer is alive.
 *
 * <p>The queue of each link is bounded. When a ring is full, a link is lost or a peer is unreachable, the queued
 * messages are dropped and counted by type. Nothing is resent here: when a link comes up again, the listener is
 * notified and the decision loop sends its complete state, which replaces the lost messages.
 */
public final class PeerLinks implements PeerSender, AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(PeerLinks.class);
    private static final long BUSY_TIMER_INTERVAL_MS = 20;
    private static final long IDLE_TIMER_INTERVAL_MS = 500;
    private static final long CLOSE_TIMEOUT_MS = 2_000;
    private static final PeerMessage HEARTBEAT = new PeerMessage.Heartbeat();

    private final Member self;
    private final String fleetKey;
    private final PeerListener listener;
    private final PeerMetrics metrics;
    private final PeerLinkOptions options;
    private final PeerSockets sockets;
    private final PeerSockets.Handler handler;
    private final InetSocketAddress boundAddress;
    private final Thread thread;
    private final SplittableRandom random;
    private final Map<InstanceId, PeerRoute> routes = new ConcurrentHashMap<>();
    /** Routes with new messages, a changed address or a requested disconnect; each is queued at most once. */
    private final Queue<PeerRoute> scheduled = new ConcurrentLinkedQueue<>();

    private final List<PeerRoute> lingering = new ArrayList<>();
    private final AtomicBoolean flushRequested = new AtomicBoolean();
    private long flushDueMs = Long.MAX_VALUE;
    private long timersDueMs;
    private volatile boolean closed;

    private PeerLinks(
            Member self,
            String fleetKey,
            PeerListener listener,
            PeerMetrics metrics,
            PeerLinkOptions options,
            PeerSockets sockets)
            throws IOException {
        this.self = self;
        this.fleetKey = fleetKey;
        this.listener = listener;
        this.metrics = metrics;
        this.options = options;
        this.sockets = sockets;
        this.handler = new SocketHandler();
        this.boundAddress = sockets.boundAddress();
        this.random = new SplittableRandom(self.incarnation() * 31 + self.id().hashCode());
        this.thread = new Thread(this::run, "peer-links");
        this.thread.setDaemon(true);
    }

    /** Binds the address and starts the links thread; throws if the address cannot be bound. */
    public static PeerLinks start(
            Member self, HostPort bind, String fleetKey, PeerListener listener, MetricRegistry registry)
            throws IOException {
        return start(self, bind, fleetKey, listener, registry, PeerLinkOptions.DEFAULTS);
    }

    /** Like the other {@code start}, with the given options. */
    public static PeerLinks start(
            Member self,
            HostPort bind,
            String fleetKey,
            PeerListener listener,
            MetricRegistry registry,
            PeerLinkOptions options)
            throws IOException {
        PeerMetrics metrics = PeerMetrics.create(registry);
        PeerLinks links = new PeerLinks(self, fleetKey, listener, metrics, options, PeerSockets.open(bind, metrics));
        links.thread.start();
        return links;
    }

    /** The address that peers connect to; its port is the ephemeral one if the configured port is 0. */
    public InetSocketAddress boundAddress() {
        return boundAddress;
    }

    /** Replaces the peer addresses; the link to a peer that is no longer listed is closed. */
    public void setPeers(Map<InstanceId, HostPort> addresses) {
        addresses.forEach((peer, address) -> {
            if (!peer.equals(self.id())) {
                routes.compute(peer, (id, known) -> routeOrNew(id, known).withAddress(address));
            }
        });
        for (PeerRoute route : routes.values()) {
            if (!addresses.containsKey(route.peer()) && route.removeAddress()) {
                schedule(route);
            }
        }
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
        PeerRoute route = routes.get(to);
        if (route == null || closed) {
            metrics.unknownPeer.inc();
            metrics.dropped(message);
            return;
        }
        if (!route.offer(message)) {
            metrics.dropped(message);
        }
        schedule(route);
        if (message.prompt() && !flushRequested.getAndSet(true)) {
            sockets.wakeup();
        }
    }

    /**
     * Closes the link to a peer whose message could not be accepted; the link is reopened while the peer is wanted.
     */
    public void disconnect(InstanceId peer) {
        PeerRoute route = routes.get(peer);
        if (route != null) {
            route.requestDisconnect();
            schedule(route);
        }
    }

    /** Writes the queued messages as far as the sockets accept them without blocking, then closes all links. */
    @Override
    public void close() {
        closed = true;
        sockets.wakeup();
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private PeerRoute route(InstanceId peer) {
        return routes.compute(peer, this::routeOrNew);
    }

    private PeerRoute routeOrNew(InstanceId peer, @Nullable PeerRoute known) {
        return known == null ? PeerRoute.of(peer, options.ringMessages()) : known;
    }

    private void schedule(PeerRoute route) {
        if (route.schedule()) {
            scheduled.add(route);
            sockets.wakeup();
        }
    }

    private void run() {
        try {
            while (!closed) {
                sockets.select(Math.max(1, Math.min(flushDueMs, timersDueMs) - PeerSockets.nowMs()), handler);
                takeScheduled(PeerSockets.nowMs());
                runTimers(PeerSockets.nowMs());
            }
            shutDown(PeerSockets.nowMs());
        } catch (IOException | RuntimeException e) {
            LOG.error(e, "peer_links_failed", "error", ErrorType.INTERNAL.number());
        }
    }

    // Connections

    private void connect(PeerRoute route, HostPort address, long nowMs) {
        Handshake handshake = Handshake.initiate(self, fleetKey, route.peer());
        try {
            PeerConnection connection = sockets.connect(handshake, address, nowMs);
            connection.setRoute(route);
            route.attemptStarted(connection, nowMs);
        } catch (IOException | RuntimeException e) {
            route.backOff(nowMs, options, random.nextDouble());
            LOG.debug("peer_connect_failed", "peer", route.peer(), "reason", e.toString());
        }
        scheduleTimers(nowMs);
    }

    /** Returns false if the frame is invalid. */
    private boolean processFrame(PeerConnection connection, byte[] array, int offset, int length, long nowMs)
            throws IOException {
        if (!connection.isUp()) {
            onHandshake(connection, Arrays.copyOfRange(array, offset, offset + length), nowMs);
            return true;
        }
        DecodeResult result = connection.decode(array, offset, length);
        if (result instanceof DecodeResult.Decoded decoded) {
            metrics.skipped.inc(decoded.skipped());
            decoded.messages().forEach(message -> onMessage(connection, message, nowMs));
            return true;
        }
        LOG.error(
                "peer_frame_invalid",
                "error",
                ErrorType.PEER_FRAME_INVALID.number(),
                "peer",
                peerName(connection),
                "reason",
                result);
        return false;
    }

    private void onMessage(PeerConnection connection, PeerMessage message, long nowMs) {
        metrics.messageIn(message);
        if (message instanceof PeerMessage.Heartbeat) {
            return;
        }
        connection.onMessage(nowMs, options);
        scheduleTimers(nowMs);
        Handshake handshake = connection.handshake();
        notifyListener(() -> listener.onMessage(handshake.peer(), handshake.peerIncarnation(), message));
    }

    // Handshakes

    private void onHandshake(PeerConnection connection, byte[] message, long nowMs) throws IOException {
        HandshakeStep step = connection.handshake().onMessage(message);
        if (step instanceof HandshakeStep.Reply reply) {
            connection.sendHandshake(reply.bytes(), nowMs);
        } else if (step instanceof HandshakeStep.PeerAuthenticated authenticated) {
            onPeerAuthenticated(connection, authenticated, nowMs);
        } else if (step instanceof HandshakeStep.Complete) {
            linkUp(connection, route(connection.handshake().peer()), nowMs);
        } else if (step instanceof HandshakeStep.Failed failed) {
            onHandshakeFailed(connection, failed, nowMs);
        }
    }

    private void onPeerAuthenticated(
            PeerConnection connection, HandshakeStep.PeerAuthenticated authenticated, long nowMs) throws IOException {
        Handshake handshake = connection.handshake();
        PeerRoute route = route(handshake.peer());
        if (handshake.isInitiator()) {
            // A connection opened by the peer came up meanwhile; this one is redundant.
            if (route.link() != null) {
                disconnect(connection, DisconnectReason.REPLACED, nowMs);
                return;
            }
            connection.sendHandshake(handshake.proof(route.lastLinkId()), nowMs);
            return;
        }
        if (!route.admits(self.id(), handshake, authenticated.lastLinkId())) {
            disconnect(connection, DisconnectReason.REPLACED, nowMs);
            return;
        }
        connection.setRoute(route);
        connection.sendHandshake(handshake.accepted(), nowMs);
        linkUp(connection, route, nowMs);
    }

    private void onHandshakeFailed(PeerConnection connection, HandshakeStep.Failed failed, long nowMs) {
        if (failed.type() == ErrorType.PEER_UNAUTHENTICATED) {
            metrics.unauthenticated.inc();
        }
        LOG.warn(
                "peer_handshake_failed",
                "error",
                failed.type().number(),
                "peer",
                peerName(connection),
                "reason",
                failed.detail());
        disconnect(connection, DisconnectReason.HANDSHAKE_FAILED, nowMs);
    }

    private void linkUp(PeerConnection connection, PeerRoute route, long nowMs) {
        PeerConnection replaced = route.link();
        if (replaced != null) {
            disconnect(replaced, DisconnectReason.REPLACED, nowMs);
        }
        PeerConnection attempt = route.attempt();
        if (attempt != null && attempt != connection) {
            disconnect(attempt, DisconnectReason.REPLACED, nowMs);
        }
        connection.markUp(nowMs);
        route.linkUp(connection);
        metrics.links.inc();
        long incarnation = connection.handshake().peerIncarnation();
        LOG.info(
                "peer_link_up",
                "peer",
                route.peer(),
                "incarnation",
                incarnation,
                "opened_here",
                connection.handshake().isInitiator());
        notifyListener(() -> listener.onLinkChanged(route.peer(), incarnation, true));
        schedule(route);
    }

    // Closing

    private void disconnect(PeerConnection connection, DisconnectReason reason, long nowMs) {
        if (!sockets.close(connection, reason)) {
            return;
        }
        PeerRoute route = connection.route();
        if (route == null) {
            return;
        }
        if (route.link() == connection) {
            linkDown(connection, route, reason, nowMs);
        } else if (route.attempt() == connection) {
            route.attemptEnded();
            if (reason != DisconnectReason.REPLACED) {
                route.backOff(nowMs, options, random.nextDouble());
            }
            LOG.debug("peer_connect_failed", "peer", route.peer(), "reason", reason.logName());
        }
        scheduleTimers(nowMs);
    }

    private void linkDown(PeerConnection connection, PeerRoute route, DisconnectReason reason, long nowMs) {
        route.linkLost(connection.upSinceMs(), nowMs, options);
        route.backOff(nowMs, options, random.nextDouble());
        route.clear(metrics);
        route.markReportedDown();
        metrics.links.dec();
        long incarnation = connection.handshake().peerIncarnation();
        LOG.info("peer_link_down", "peer", route.peer(), "incarnation", incarnation, "reason", reason.logName());
        notifyListener(() -> listener.onLinkChanged(route.peer(), incarnation, false));
    }

    private void shutDown(long nowMs) throws IOException {
        for (PeerRoute route : routes.values()) {
            flush(route, nowMs);
        }
        for (PeerConnection connection : sockets.connections()) {
            disconnect(connection, DisconnectReason.SHUTDOWN, nowMs);
        }
        sockets.close();
    }

    // Sending

    private void takeScheduled(long nowMs) {
        PeerRoute route = scheduled.poll();
        while (route != null) {
            lingering.add(route);
            if (route.hasMessages()) {
                route.markWanted(nowMs + options.wantedForMs());
            }
            flushDueMs = Math.min(flushDueMs, nowMs + options.lingerMs());
            route = scheduled.poll();
        }
        boolean prompt = flushRequested.getAndSet(false);
        if (!prompt && nowMs < flushDueMs) {
            return;
        }
        flushDueMs = Long.MAX_VALUE;
        List<PeerRoute> due = List.copyOf(lingering);
        lingering.clear();
        for (PeerRoute next : due) {
            next.unschedule();
            maintain(next, nowMs);
            flush(next, nowMs);
        }
    }

    private void flush(PeerRoute route, long nowMs) {
        PeerConnection link = route.link();
        if (link == null) {
            return;
        }
        try {
            while (link.hasSendCapacity() && sockets.isOpen(link) && sendNext(route, link, nowMs)) {
                // sendNext does the work; the loop ends when the ring is empty or too many bytes are unsent.
            }
            if (sockets.isOpen(link)) {
                link.flush(nowMs);
            }
        } catch (IOException e) {
            disconnect(link, DisconnectReason.CLOSED, nowMs);
        }
    }

    private boolean sendNext(PeerRoute route, PeerConnection link, long nowMs) {
        PeerMessage message = route.poll();
        if (message == null) {
            return false;
        }
        link.onMessage(nowMs, options);
        scheduleTimers(nowMs);
        if (link.append(message)) {
            return true;
        }
        metrics.dropped(message);
        LOG.error("peer_message_too_large", "error", ErrorType.PEER_FRAME_INVALID.number(), "peer", route.peer());
        // Settings bodies use no numbered names, so the peer's decoder stays in step and the link can be kept.
        if (!(message instanceof PeerMessage.SettingsBodies)) {
            disconnect(link, DisconnectReason.MESSAGE_TOO_LARGE, nowMs);
        }
        return true;
    }

    private void refill(PeerConnection connection, long nowMs) {
        PeerRoute route = connection.route();
        if (connection.isUp() && route != null && route.hasMessages()) {
            flush(route, nowMs);
        }
    }

    // Timers

    private void scheduleTimers(long nowMs) {
        timersDueMs = Math.min(timersDueMs, nowMs + BUSY_TIMER_INTERVAL_MS);
    }

    private void runTimers(long nowMs) {
        if (nowMs < timersDueMs) {
            return;
        }
        timersDueMs = nowMs + IDLE_TIMER_INTERVAL_MS;
        for (PeerConnection connection : sockets.connections()) {
            checkLiveness(connection, nowMs);
        }
        for (PeerRoute route : routes.values()) {
            maintain(route, nowMs);
            if (route.link() == null && route.wantsLink(nowMs)) {
                scheduleTimers(nowMs);
            }
        }
    }

    private void checkLiveness(PeerConnection connection, long nowMs) {
        DisconnectReason reason = disconnectReason(connection, nowMs);
        if (reason != null) {
            disconnect(connection, reason, nowMs);
            return;
        }
        if (connection.isHeartbeatDue(nowMs, options)) {
            try {
                connection.append(HEARTBEAT);
                connection.flush(nowMs);
            } catch (IOException e) {
                disconnect(connection, DisconnectReason.CLOSED, nowMs);
            }
        }
        if (!connection.isUp() || connection.isActive(nowMs, options)) {
            scheduleTimers(nowMs);
        }
    }

    private @Nullable DisconnectReason disconnectReason(PeerConnection connection, long nowMs) {
        if (connection.isHandshakeOverdue(nowMs, options)) {
            return DisconnectReason.HANDSHAKE_TIMEOUT;
        }
        if (connection.isSilent(nowMs, options)) {
            return DisconnectReason.SILENT;
        }
        return connection.isIdle(nowMs, options) ? DisconnectReason.IDLE : null;
    }

    /** Performs the due work of a route: closes its link, drops its messages or connects. */
    private void maintain(PeerRoute route, long nowMs) {
        PeerConnection link = route.link();
        HostPort address = route.address();
        if (route.isObsolete()) {
            remove(route, link, nowMs);
            return;
        }
        if (route.takeDisconnectRequest() && link != null) {
            disconnect(link, DisconnectReason.RECEIVER_FULL, nowMs);
            return;
        }
        if (route.hasOverflowed()) {
            onRingFull(route, link, nowMs);
            return;
        }
        if (route.isUnreachable(nowMs, options) && route.hasMessages()) {
            dropUnreachable(route);
        }
        if (address != null && route.isConnectDue(nowMs)) {
            connect(route, address, nowMs);
        }
    }

    private void remove(PeerRoute route, @Nullable PeerConnection link, long nowMs) {
        PeerRoute kept = routes.computeIfPresent(route.peer(), (id, known) -> known.isObsolete() ? null : known);
        if (kept != null) {
            return;
        }
        if (link != null) {
            disconnect(link, DisconnectReason.PEER_REMOVED, nowMs);
        }
        PeerConnection attempt = route.attempt();
        if (attempt != null) {
            disconnect(attempt, DisconnectReason.PEER_REMOVED, nowMs);
        }
        route.clear(metrics);
    }

    private void onRingFull(PeerRoute route, @Nullable PeerConnection link, long nowMs) {
        // The peer receives more slowly than messages are sent. Dropping single messages would silently leave its state
        // wrong; closing the link makes both sides rebuild their state.
        LOG.error("peer_ring_full", "error", ErrorType.RING_FULL.number(), "peer", route.peer());
        if (link != null) {
            disconnect(link, DisconnectReason.RING_FULL, nowMs);
        } else {
            dropUnreachable(route);
        }
    }

    private void dropUnreachable(PeerRoute route) {
        route.clear(metrics);
        if (!route.markReportedDown()) {
            return;
        }
        LOG.warn("peer_unreachable", "error", ErrorType.PEER_UNREACHABLE.number(), "peer", route.peer());
        notifyListener(() -> listener.onLinkChanged(route.peer(), 0, false));
    }

    private static String peerName(PeerConnection connection) {
        PeerRoute route = connection.route();
        return route == null
                ? connection.handshake().peer().name()
                : route.peer().name();
    }

    private static void notifyListener(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.error(e, "peer_listener_failed", "error", ErrorType.INTERNAL.number());
        }
    }

    /** Forwards socket events to the methods of the enclosing class. */
    private final class SocketHandler implements PeerSockets.Handler {
        @Override
        public Handshake acceptorHandshake(long nowMs) {
            scheduleTimers(nowMs);
            return Handshake.accept(self, fleetKey);
        }

        @Override
        public boolean onFrame(PeerConnection connection, byte[] bytes, int offset, int lengthBytes, long nowMs)
                throws IOException {
            return processFrame(connection, bytes, offset, lengthBytes, nowMs);
        }

        @Override
        public void onWritable(PeerConnection connection, long nowMs) {
            refill(connection, nowMs);
        }

        @Override
        public void onFailure(PeerConnection connection, DisconnectReason reason, long nowMs) {
            disconnect(connection, reason, nowMs);
        }
    }
}
