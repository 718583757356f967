package org.marjoramswitch.daemon.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.admission.AcceptLine;
import org.marjoramswitch.kernel.admission.AdmissionRequest;
import org.xnio.IoUtils;

/**
 * Accepts connections on a thread of its own, and either hands them over to be served or rejects them, so that callers
 * of an instance whose I/O threads are behind receive a rejection with a retry delay.
 *
 * <p>While the instance may accept, a connection is handed over at once. Otherwise it waits in {@link AcceptLine}:
 * as soon as the instance may accept again, a new one of the customer that was served least is handed over, and the
 * oldest is rejected with a prepared response by {@link RejectedConnection} once it has waited for {@link
 * AdmissionGate#maxWaitMs}. The wait keeps a short pause, such as a garbage collection, from rejecting anyone. A connection
 * that was handed over, but that its I/O thread has not taken within the same time, is taken back and rejected as well.
 *
 * <p>Connections are accepted however many wait, because the listen queue of the operating system is served in its order
 * and the age of what is in it is unknown: a connection that waits there for longer than its caller does is served in vain.
 *
 * <p>Both hand-overs of connections that waited and rejections are limited by parts of the processor. Rejections get a
 * larger part once the oldest connection has waited for twice the time after which it should have been rejected. What has
 * waited for {@link RejectionPace#MAX_UNREAD_MS}, or has no place left, is rejected whatever the limits are.
 */
final class CallerAcceptor implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(CallerAcceptor.class);
    /** As Undertow's listeners. */
    private static final int BACKLOG = 1_000;

    /** Accepts in one round; connections that are being rejected have their turn after this. */
    private static final int MAX_ACCEPTS = 128;

    private static final long CHECK_MS = 5;
    /** A longer time between two rounds is a pause of this thread as well, which says nothing of the I/O threads. */
    private static final long MAX_ROUND_MS = 25;
    /** As many as the listen queue holds; each may hold some kilobytes of its request in the operating system. */
    private static final int MAX_WAITING = BACKLOG;

    private static final int MAX_REJECTING = 256;
    /** Rejections take a part of each round only, so that connections are handed over as well while many are overdue. */
    private static final int MAX_REJECTIONS_IN_A_ROUND = 16;

    /** Estimated processor time of a rejection by an I/O thread, the least that a hand-over leads to. */
    private static final double HAND_OVER_US = 450;

    private static final double BURST_MS = 20;
    private static final int INPUT_BYTES = 16 << 10;
    private static final long FAILURE_PAUSE_MS = 100;
    private static final long CLOSE_TIMEOUT_MS = 1_000;

    private final Parts parts;
    private final Selector selector;
    private final ServerSocketChannel server;
    private final SelectionKey acceptKey;
    private final Thread thread;
    private final ByteBuffer input = ByteBuffer.allocateDirect(INPUT_BYTES);
    private final AcceptLine<WaitingConnection> waiting = AcceptLine.create(MAX_WAITING, this::requestOf);
    /** Connections that were handed over and may not have been taken yet, in the order of the hand-overs. */
    private final Deque<HandedOver> handedOver = new ArrayDeque<>();

    private final List<Rejection> rejecting = new ArrayList<>();
    private final RateLimit handOvers;
    private final RejectionPace pace;
    /** Connections that were handed over and are open. */
    private final AtomicInteger served = new AtomicInteger();

    private long lastRoundMs;
    /** The time for which this thread ran, without its pauses. */
    private long runningMs;

    private long acceptNotBeforeMs;
    private volatile boolean full;
    private volatile boolean closed;

    /** Serves a connection on another thread. */
    interface Server {
        /**
         * @param connection must be claimed with {@link WaitingConnection#take} before anything is done with its channel
         * @param onClosed must be called once, when the connection has been closed
         */
        void serve(WaitingConnection connection, Runnable onClosed);
    }

    /**
     * Dependencies and limits.
     *
     * @param maxConnections maximum number of open connections
     * @param processorMillicores the instance's processor limit
     * @param heads parses the heads of requests
     * @param requests estimates a request from its head
     * @param choice selects the customer of which a waiting connection is served next
     * @param mayAccept whether a connection may be served now
     * @param maxWaitMs how long a connection may wait to be served before it is rejected
     */
    record Parts(
            int maxConnections,
            int processorMillicores,
            UnreadHeadParser heads,
            Function<UnreadHead, AdmissionRequest> requests,
            AcceptLine.Choice choice,
            BooleanSupplier mayAccept,
            LongSupplier maxWaitMs,
            Server server,
            PreparedRejections responses,
            UnreadRejectionReport report,
            AcceptReport accepts,
            LongSupplier clockMs) {}

    /** @param sinceRunningMs when it was handed over, in the running time of this thread */
    private record HandedOver(WaitingConnection connection, long sinceRunningMs) {}

    /** @param request null if its head was not known when the rejection began */
    private record Rejection(
            RejectedConnection connection, @Nullable AdmissionRequest request, long waitMs) {}

    private CallerAcceptor(HostPort address, Parts parts) throws IOException {
        this.parts = parts;
        this.handOvers = new RateLimit(parts.processorMillicores() / HAND_OVER_US, BURST_MS);
        this.pace = RejectionPace.of(parts.processorMillicores());
        this.selector = Selector.open();
        this.server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
        server.configureBlocking(false);
        this.acceptKey = server.register(selector, SelectionKey.OP_ACCEPT);
        this.thread = new Thread(this::run, "callers-accept");
        thread.setDaemon(true);
    }

    /** Binds the address and starts accepting. */
    static CallerAcceptor open(HostPort address, Parts parts) throws IOException {
        CallerAcceptor acceptor = new CallerAcceptor(address, parts);
        acceptor.thread.start();
        return acceptor;
    }

    private void released() {
        served.decrementAndGet();
        if (full) {
            selector.wakeup();
        }
    }

    private void run() {
        lastRoundMs = parts.clockMs().getAsLong();
        while (!closed) {
            try {
                boolean idle = isIdle();
                selector.select(idle ? 0 : CHECK_MS);
                long nowMs = parts.clockMs().getAsLong();
                if (idle) {
                    parts.accepts().queueEmpty(nowMs);
                }
                round(nowMs);
            } catch (IOException | RuntimeException e) {
                // Accepting must not end with one fault, and a fault that repeats must not use the processor.
                LOG.error("accept_round_failed", "reason", String.valueOf(e));
                acceptNotBeforeMs = parts.clockMs().getAsLong() + FAILURE_PAUSE_MS;
                acceptKey.interestOps(0);
            }
        }
        closeAll();
    }

    private boolean isIdle() {
        return waiting.isEmpty()
                && handedOver.isEmpty()
                && rejecting.isEmpty()
                && parts.report().isEmpty()
                && acceptNotBeforeMs == 0;
    }

    private void round(long nowMs) {
        runningMs += Math.min(MAX_ROUND_MS, Math.max(0, nowMs - lastRoundMs));
        lastRoundMs = nowMs;
        boolean acceptable = proceedReady(nowMs);
        if (acceptable) {
            acceptAll(nowMs);
        } else if (acceptKey.interestOps() != 0) {
            parts.accepts().queueEmpty(nowMs);
        }
        serveWaiting(nowMs);
        rejectExpired(nowMs);
        removeEnded(nowMs);
        parts.report().flushIfDue(nowMs);
        updateInterest(nowMs);
        reportRound(nowMs);
    }

    private void reportRound(long nowMs) {
        String limit = "";
        if (acceptNotBeforeMs > nowMs) {
            limit = "FAULT";
        } else if (!canAccept()) {
            limit = rejecting.size() >= MAX_REJECTING ? "REJECTING" : "OPEN";
        }
        long oldestWaitMs = waiting.oldestWaitMs(runningMs);
        parts.accepts().roundEnded(limit, waiting.size(), rejecting.size(), served.get(), oldestWaitMs, nowMs);
    }

    /** Returns whether connections wait to be accepted. */
    private boolean proceedReady(long nowMs) {
        boolean acceptable = false;
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.attachment() instanceof RejectedConnection connection) {
                connection.proceed(nowMs);
            } else {
                acceptable = true;
            }
        }
        selector.selectedKeys().clear();
        return acceptable;
    }

    private void serveWaiting(long nowMs) {
        if (waiting.isEmpty()) {
            return;
        }
        waiting.identify();
        long maxWaitMs = parts.maxWaitMs().getAsLong();
        while (handOvers.isAvailable(nowMs)) {
            WaitingConnection next = waiting.removeNext(parts.choice(), maxWaitMs, runningMs);
            if (next == null) {
                return;
            }
            handOvers.take(nowMs);
            serve(next);
        }
    }

    private void acceptAll(long nowMs) {
        try {
            for (int i = 0; i < MAX_ACCEPTS && canAccept(); i++) {
                SocketChannel channel = server.accept();
                if (channel == null) {
                    parts.accepts().queueEmpty(nowMs);
                    return;
                }
                parts.accepts().accepted();
                accepted(channel, nowMs);
            }
        } catch (IOException e) {
            LOG.warn("accept_failed", "reason", String.valueOf(e.getMessage()));
            acceptNotBeforeMs = nowMs + FAILURE_PAUSE_MS;
        }
    }

    private void accepted(SocketChannel channel, long nowMs) {
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            IoUtils.safeClose(channel);
            return;
        }
        WaitingConnection connection = WaitingConnection.of(channel, nowMs);
        if (waiting.isEmpty() && parts.mayAccept().getAsBoolean()) {
            serve(connection);
        } else {
            addWaiting(connection, nowMs);
        }
    }

    private void addWaiting(WaitingConnection connection, long nowMs) {
        if (!hasRoom()) {
            reject(waiting.removeOldest(), nowMs);
        }
        waiting.add(connection, runningMs);
    }

    /** Without room, a connection takes the place of the oldest that waits, which is rejected. */
    private boolean canAccept() {
        return hasRoom() || (!waiting.isEmpty() && rejecting.size() < MAX_REJECTING);
    }

    private boolean hasRoom() {
        return !waiting.isFull() && served.get() + waiting.size() + rejecting.size() < parts.maxConnections();
    }

    private void serve(WaitingConnection connection) {
        served.incrementAndGet();
        parts.accepts().handedOver();
        handedOver.addLast(new HandedOver(connection, runningMs));
        parts.server().serve(connection, this::released);
    }

    private void rejectExpired(long nowMs) {
        handedOver.removeIf(entry -> entry.connection().isTaken());
        if (waiting.isEmpty() && handedOver.isEmpty()) {
            return;
        }
        rejectExpired(parts.maxWaitMs().getAsLong(), nowMs);
    }

    /** Rejects those first that were accepted first, whether they were handed over or not. */
    private void rejectExpired(long maxWaitMs, long nowMs) {
        for (int i = 0; i < MAX_REJECTIONS_IN_A_ROUND; i++) {
            WaitingConnection oldest = waiting.expired(maxWaitMs, runningMs);
            WaitingConnection untaken =
                    untakenMs() < maxWaitMs ? null : handedOver.getFirst().connection();
            if ((oldest == null && untaken == null) || !mayReject(maxWaitMs, nowMs)) {
                return;
            }
            if (untaken == null || (oldest != null && oldest.acceptedMs() < untaken.acceptedMs())) {
                reject(waiting.removeOldest(), nowMs);
            } else {
                rejectUntaken(handedOver.removeFirst().connection(), nowMs);
            }
        }
    }

    private void rejectUntaken(WaitingConnection connection, long nowMs) {
        if (connection.take()) {
            served.decrementAndGet();
            reject(connection, nowMs);
        }
    }

    /** How long the first of the connections that were handed over has not been taken; 0 if there is none. */
    private long untakenMs() {
        return handedOver.isEmpty() ? 0 : runningMs - handedOver.getFirst().sinceRunningMs();
    }

    private boolean mayReject(long maxWaitMs, long nowMs) {
        if (rejecting.size() >= MAX_REJECTING) {
            return false;
        }
        long longestWaitMs = Math.max(waiting.oldestWaitMs(runningMs), untakenMs());
        return pace.mayReject(longestWaitMs, maxWaitMs, nowMs);
    }

    private void reject(WaitingConnection oldest, long nowMs) {
        RejectedConnection connection = RejectedConnection.of(oldest, parts.heads(), parts.responses(), input, nowMs);
        connection.begin(selector, nowMs);
        rejecting.add(new Rejection(connection, oldest.request(), nowMs - oldest.acceptedMs()));
    }

    private void removeEnded(long nowMs) {
        rejecting.removeIf(entry -> {
            RejectedConnection connection = entry.connection();
            connection.checkTime(nowMs);
            if (!connection.hasEnded()) {
                return false;
            }
            if (connection.state() == RejectedConnection.State.SILENT) {
                serve(WaitingConnection.of(connection.channel(), nowMs));
            } else {
                boolean told = connection.state() == RejectedConnection.State.REJECTED;
                parts.report().add(told, requestOf(entry), entry.waitMs());
            }
            return true;
        });
    }

    private @Nullable AdmissionRequest requestOf(Rejection rejection) {
        UnreadHead head = rejection.connection().head();
        return rejection.request() != null || head == null
                ? rejection.request()
                : parts.requests().apply(head);
    }

    private @Nullable AdmissionRequest requestOf(WaitingConnection connection) {
        UnreadHead head = connection.readHead(parts.heads(), input);
        if (head != null && connection.request() == null) {
            connection.setRequest(parts.requests().apply(head));
        }
        return connection.request();
    }

    /** Stops looking for connections that could not be accepted, which would make each selection return at once. */
    private void updateInterest(long nowMs) {
        full = true;
        if (nowMs < acceptNotBeforeMs || !canAccept()) {
            acceptKey.interestOps(0);
            return;
        }
        full = false;
        acceptNotBeforeMs = 0;
        acceptKey.interestOps(SelectionKey.OP_ACCEPT);
    }

    private void closeAll() {
        IoUtils.safeClose(server);
        waiting.removeAll().forEach(entry -> IoUtils.safeClose(entry.channel()));
        handedOver.stream()
                .map(HandedOver::connection)
                .filter(WaitingConnection::take)
                .forEach(entry -> IoUtils.safeClose(entry.channel()));
        rejecting.forEach(entry -> entry.connection().close());
        IoUtils.safeClose(selector);
        parts.report().flush();
    }

    /** Stops accepting and closes the connections that were not handed over. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
