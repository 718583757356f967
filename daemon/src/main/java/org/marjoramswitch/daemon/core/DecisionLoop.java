package org.marjoramswitch.daemon.core;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.marjoramswitch.daemon.exchange.RequestSubmitter;
import org.marjoramswitch.daemon.exchange.ResponseListener;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetClient;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.peer.PeerListener;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;

/**
 * Event loop of the kernel: one thread that owns the kernel, takes events from a bounded ring, sends the kernel its
 * ticks and executes its actions.
 *
 * <p>The kernel is not thread-safe, and its decisions depend only on the order and times of its events. A single thread
 * ensures that the kernel needs no lock and that a recording of the events replays to the same decisions. Other threads
 * do all blocking work (sockets, the platform's key-value store), so this thread processes an event in microseconds.
 *
 * <p>{@link EventClass} defines what happens when the ring fills up. Capacity for events that must not be lost is
 * guaranteed: an open request has at most one attempt end, one target notice and one caller disconnect outstanding, the
 * number of open requests is bounded, and the ring has {@value #RING_PER_REQUEST} slots for each of them, half of which
 * no other class may use.
 *
 * <p>For example, if 2,000 requests may wait, 4,000 may be open and the ring has 32,768 slots. A peer that floods the
 * instance fills 16,384 of them before its link is cut. The 4,000 attempt ends, 4,000 target notices and 4,000 caller
 * disconnects that may arrive at that moment still fit, and so do thousands of changes of links, targets and settings.
 */
public final class DecisionLoop implements RequestSubmitter, PeerListener, EventSink, AutoCloseable {
    /** Retry delay for callers that are rejected because the instance is full. */
    private static final long FULL_RETRY_AFTER_MS = 1_000;

    private static final int RING_PER_REQUEST = 8;
    private static final int MAX_BATCH = 256;
    private static final long JOIN_MS = 5_000;
    /** No value of {@link System#nanoTime} in practice. */
    private static final long NONE = Long.MIN_VALUE;

    private static final Event TICK = new Event.Tick();
    private static final KeyValueLog LOG = KeyValueLog.of(DecisionLoop.class);

    private final Decider decider;
    private final LongSupplier clockMs;
    private final EventObserver observer;
    private final Consumer<InstanceId> peerDisconnector;
    private final EventRing ring;
    private final OpenRequests requests;
    private final HeldErrors heldErrors = HeldErrors.ofHeap(Runtime.getRuntime().maxMemory());
    private final ActionRunner actions;
    private final DecisionMetrics metrics;
    private final DecisionLag lag = new DecisionLag();
    private final Thread thread;
    private final Set<InstanceId> cutLinks = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    private volatile long lagMs;
    /** When the present decision began, {@link #NONE} between two decisions. */
    private volatile long decidingSinceNs = NONE;

    private long nowMs = Long.MIN_VALUE;
    private long tickedAtNs = System.nanoTime();

    private DecisionLoop(Builder builder) {
        this.decider = builder.decider;
        this.clockMs = builder.clockMs;
        this.observer = builder.observer;
        this.peerDisconnector = builder.peerDisconnector;
        this.ring = EventRing.of(RING_PER_REQUEST * OpenRequests.maxOpen(builder.maxWaiting));
        this.requests = OpenRequests.of(builder.maxWaiting);
        this.actions = ActionRunner.of(requests, this, builder.peers, builder.targets, builder.persister);
        this.metrics = DecisionMetrics.of(builder.registry, ring, requests);
        this.thread = new Thread(this::run, "decisions");
    }

    /**
     * Creates a builder for a decision loop.
     *
     * @param clockMs the kernel's monotonic clock
     * @param maxWaiting maximum number of requests that may wait at this instance
     */
    public static Builder builder(Decider decider, LongSupplier clockMs, int maxWaiting, MetricRegistry registry) {
        return new Builder(decider, clockMs, maxWaiting, registry);
    }

    /** Completed when the kernel reports that the instance has no more requests. */
    public CompletableFuture<Void> drained() {
        return actions.drained();
    }

    /**
     * Time that the last event waited in the ring, or that the present decision has taken, whichever is longer; 0 when the
     * ring is empty. While a decision is held up, no event is taken whose wait would show it.
     */
    public long lagMs() {
        long decidingNs = decidingSinceNs;
        return decidingNs == NONE
                ? lagMs
                : Math.max(lagMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - decidingNs));
    }

    /** Number of the customer's requests that have arrived here and not ended. */
    public int openRequests(CustomerId customer) {
        return requests.openOf(customer);
    }

    @Override
    public long nextRequestId() {
        return requests.nextId();
    }

    @Override
    public void submit(RequestSpec request, TargetCall call, ResponseListener listener) {
        OpenRequest openRequest = OpenRequest.of(request, call, listener, heldErrors);
        if (closed) {
            openRequest.fail(Failure.notRun(ErrorType.INSTANCE_LEAVING, 0, ""));
            return;
        }
        Event arrival = new Event.RequestArrived(request);
        if (!requests.add(openRequest)) {
            metrics.countRefused(arrival);
            openRequest.fail(Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, FULL_RETRY_AFTER_MS, ""));
            return;
        }
        if (!offer(arrival)) {
            requests.remove(openRequest);
            openRequest.fail(Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, FULL_RETRY_AFTER_MS, ""));
            return;
        }
        // The loop may have been closed since the first check, without seeing this request among the open ones.
        if (closed) {
            actions.abort(openRequest);
        }
    }

    @Override
    public void callerGone(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request != null && request.markCallerGone()) {
            // Cancelled here as well as by the kernel: while events queue up, the target would continue to work for a
            // caller that has disconnected.
            request.cancelRunning();
            offer(new Event.CallerGone(requestId));
        }
    }

    @Override
    public void onMessage(InstanceId from, long fromIncarnation, PeerMessage message) {
        Event received = new Event.PeerReceived(from, fromIncarnation, message);
        if (cutLinks.contains(from)) {
            metrics.countRefused(received);
            return;
        }
        if (!offer(received)) {
            cutLink(from);
        }
    }

    /**
     * Cuts a link on which a message was lost. Later messages from the old link are dropped too: they depend on the
     * lost message and would leave the two instances with different state, such as slots never released or demand never
     * served. The new link starts with the complete state of both instances.
     */
    private void cutLink(InstanceId peer) {
        cutLinks.add(peer);
        LOG.warn("peer_link_cut", "peer", peer, "error", ErrorType.RING_FULL.number(), "ringDepth", ring.size());
        peerDisconnector.accept(peer);
    }

    @Override
    public void onLinkChanged(InstanceId peer, long incarnation, boolean up) {
        if (up) {
            cutLinks.remove(peer);
        }
        offer(new Event.PeerLinkChanged(peer, up));
    }

    @Override
    public boolean offer(Event event) {
        EventClass eventClass = EventClass.of(event);
        if (ring.offer(eventClass, event)) {
            return true;
        }
        metrics.countRefused(event);
        if (eventClass == EventClass.CERTAIN) {
            LOG.error(
                    "ring_full",
                    "error",
                    ErrorType.RING_FULL.number(),
                    "lost",
                    event.getClass().getSimpleName());
        }
        return false;
    }

    private DecisionLoop start() {
        thread.start();
        return this;
    }

    private void run() {
        while (!closed) {
            boolean idle = !takeBatch();
            tickIfDue();
            if (idle) {
                ring.await(tickedAtNs + tickNs() - System.nanoTime());
            }
        }
    }

    private boolean takeBatch() {
        for (int count = 0; count < MAX_BATCH; count++) {
            EventRing.TimedEvent next = ring.poll();
            if (next == null) {
                lagMs = 0;
                return count > 0;
            }
            // After a pause of the process, requests past their timeout are ended first; otherwise a grant that waited
            // in the ring could still start one of them.
            tickIfDue();
            long waitedNs = System.nanoTime() - next.enteredNs();
            metrics.ringTime().update(waitedNs, TimeUnit.NANOSECONDS);
            lagMs = TimeUnit.NANOSECONDS.toMillis(waitedNs);
            decide(withRingDelay(next.event(), lagMs));
            lag.record(lagMs, ring.size(), nowMs);
        }
        return true;
    }

    private static Event withRingDelay(Event event, long waitedMs) {
        if (waitedMs <= 0) {
            return event;
        }
        if (event instanceof Event.PeerReceived received) {
            return received.delayed(waitedMs);
        }
        if (event instanceof Event.TargetEnded ended) {
            return ended.delayed(waitedMs);
        }
        return event instanceof Event.ProgressReported reported ? reported.delayed(waitedMs) : event;
    }

    private void tickIfDue() {
        if (System.nanoTime() - tickedAtNs >= tickNs()) {
            decide(TICK);
            tickedAtNs = System.nanoTime();
        }
    }

    private long tickNs() {
        return TimeUnit.MILLISECONDS.toNanos(decider.tickMs());
    }

    private void decide(Event event) {
        metrics.countTaken(event);
        nowMs = Math.max(nowMs, clockMs.getAsLong());
        decidingSinceNs = System.nanoTime();
        try (Timer.Context timing = metrics.decisionTime().time()) {
            observer.onEvent(event, nowMs);
            List<Action> decided = decider.apply(event, nowMs);
            actions.execute(event, decided);
        } catch (RuntimeException fault) {
            metrics.countFault();
            LOG.error(fault, "decision_failed", "error", ErrorType.INTERNAL.number(), "on", event);
            actions.onDecisionFailed(event);
        } finally {
            decidingSinceNs = NONE;
        }
    }

    /** Stops the thread and fails every request that is still open. */
    @Override
    public void close() {
        closed = true;
        ring.wake();
        try {
            thread.join(JOIN_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        requests.all().forEach(actions::abort);
    }

    /** Collects the collaborators of a decision loop. */
    public static final class Builder {
        private final Decider decider;
        private final LongSupplier clockMs;
        private final int maxWaiting;
        private final MetricRegistry registry;
        private PeerSender peers = (to, message) -> {};
        private TargetClient targets = (target, pool, call, listener) -> {
            listener.onEnd(TargetOutcome.REFUSED, Usage.NONE);
            return () -> {};
        };
        private EventObserver observer = EventObserver.NONE;
        private Consumer<InstanceId> peerDisconnector = peer -> {};
        private Consumer<Action.Persist> persister = persist -> {};

        private Builder(Decider decider, LongSupplier clockMs, int maxWaiting, MetricRegistry registry) {
            this.decider = decider;
            this.clockMs = clockMs;
            this.maxWaiting = maxWaiting;
            this.registry = registry;
        }

        public Builder peers(PeerSender sender) {
            this.peers = sender;
            return this;
        }

        public Builder targets(TargetClient client) {
            this.targets = client;
            return this;
        }

        public Builder observer(EventObserver eventObserver) {
            this.observer = eventObserver;
            return this;
        }

        /** @param disconnector closes the link to a peer, which reconnects by itself */
        public Builder peerDisconnector(Consumer<InstanceId> disconnector) {
            this.peerDisconnector = disconnector;
            return this;
        }

        /** @param newPersister stores state outside the process, so that it survives a restart; must not block */
        public Builder persister(Consumer<Action.Persist> newPersister) {
            this.persister = newPersister;
            return this;
        }

        public DecisionLoop start() {
            return new DecisionLoop(this).start();
        }
    }
}
