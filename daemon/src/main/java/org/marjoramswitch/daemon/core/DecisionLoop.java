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
 * The duty that decides: one thread that owns the kernel, takes events from one bounded ring, tells the kernel the time
 * as often as it wants and has its actions carried out.
 *
 * <p>The kernel is not thread-safe and its decisions depend on nothing but the order and times of its events. One
 * thread gives both: no lock stands around the kernel, and a recording of the events replays to the same decisions.
 * All that waits (sockets, the platform's service) is done by other duties, so that an event's way through this thread
 * takes microseconds.
 *
 * <p>What happens when the ring fills up is stated in {@link EventClass}. Room for the events that must get through is
 * there by arithmetic: an open request has at most one end of an attempt, one word of its target and one loss of its
 * caller outstanding, requests are bounded in number, and the ring keeps {@value #RING_PER_REQUEST} places for each of
 * them, half of which no other class may use.
 *
 * <p>For example, with 2,000 waiting requests allowed, 4,000 may be open and the ring has 32,768 places. A peer that
 * floods the instance fills 16,384 of them before its link is cut. The 4,000 ends, 4,000 words of targets and 4,000 losses
 * of callers that may come in that moment still fit, and so do thousands of changes of links, targets and settings.
 */
public final class DecisionLoop implements RequestSubmitter, PeerListener, EventSink, AutoCloseable {
    /** When a caller that found the instance full should come back. */
    private static final long FULL_RETRY_AFTER_MS = 1_000;

    private static final int RING_PER_REQUEST = 8;
    private static final int MAX_BATCH = 256;
    private static final long JOIN_MS = 5_000;
    private static final Event TICK = new Event.Tick();
    private static final KeyValueLog LOG = KeyValueLog.of(DecisionLoop.class);

    private final Decider decider;
    private final LongSupplier clockMs;
    private final EventObserver observer;
    private final Consumer<InstanceId> linkCutter;
    private final EventRing ring;
    private final OpenRequests requests;
    private final ActionRunner actions;
    private final DecisionMetrics metrics;
    private final DecisionLag lag = new DecisionLag();
    private final Thread thread;
    private final Set<InstanceId> cutLinks = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    private volatile long lagMs;
    private long nowMs = Long.MIN_VALUE;
    private long tickedAtNs = System.nanoTime();

    private DecisionLoop(Builder builder) {
        this.decider = builder.decider;
        this.clockMs = builder.clockMs;
        this.observer = builder.observer;
        this.linkCutter = builder.linkCutter;
        this.ring = EventRing.of(RING_PER_REQUEST * OpenRequests.maxOpen(builder.maxWaiting));
        this.requests = OpenRequests.of(builder.maxWaiting);
        this.actions = ActionRunner.of(requests, this, builder.peers, builder.targets, builder.crashKeeper);
        this.metrics = DecisionMetrics.of(builder.registry, ring, requests);
        this.thread = new Thread(this::run, "decisions");
    }

    /**
     * Prepares a duty.
     *
     * @param clockMs the kernel's time, monotonic
     * @param maxWaiting the most requests that may wait at this instance
     */
    public static Builder builder(Decider decider, LongSupplier clockMs, int maxWaiting, MetricRegistry registry) {
        return new Builder(decider, clockMs, maxWaiting, registry);
    }

    /** Completed when the kernel says that the instance holds no request any more. */
    public CompletableFuture<Void> drained() {
        return actions.drained();
    }

    /** How long the last event waited for its decision; 0 once none waits any more. */
    public long lagMs() {
        return lagMs;
    }

    /** How many requests of a customer have arrived here and not ended. */
    public int openRequests(CustomerId customer) {
        return requests.openOf(customer);
    }

    @Override
    public long nextRequestId() {
        return requests.nextId();
    }

    @Override
    public void submit(RequestSpec request, TargetCall call, ResponseListener listener) {
        OpenRequest opened = OpenRequest.of(request, call, listener);
        if (closed) {
            opened.fail(Failure.notRun(ErrorType.INSTANCE_LEAVING, 0, ""));
            return;
        }
        Event arrival = new Event.RequestArrived(request);
        if (!requests.add(opened)) {
            metrics.countRefused(arrival);
            opened.fail(Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, FULL_RETRY_AFTER_MS, ""));
            return;
        }
        if (!offer(arrival)) {
            requests.remove(opened);
            opened.fail(Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, FULL_RETRY_AFTER_MS, ""));
            return;
        }
        // The duty may have closed since the first look and not have seen this request among the open ones.
        if (closed) {
            actions.cut(opened);
        }
    }

    @Override
    public void callerGone(long requestId) {
        OpenRequest request = requests.find(requestId);
        if (request != null && request.markCallerGone()) {
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
            cut(from);
        }
    }

    /**
     * Gives up a link of which a message was lost. What still comes over it is dropped too: built on a message that
     * was not heard, it would leave the two ends with different books, slots taken for ever or demand never served. The
     * new link begins with both ends' whole state.
     */
    private void cut(InstanceId peer) {
        cutLinks.add(peer);
        LOG.warn("peer_link_cut", "peer", peer, "error", ErrorType.RING_FULL.number(), "ringDepth", ring.size());
        linkCutter.accept(peer);
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
            tickWhenDue();
            if (idle) {
                ring.await(tickedAtNs + tickNs() - System.nanoTime());
            }
        }
    }

    private boolean takeBatch() {
        for (int taken = 0; taken < MAX_BATCH; taken++) {
            EventRing.TimedEvent next = ring.poll();
            if (next == null) {
                lagMs = 0;
                return taken > 0;
            }
            // After a pause of the process the requests whose time has run out go first; a grant that lay in the ring
            // all the while could otherwise still start one of them.
            tickWhenDue();
            long waitedNs = System.nanoTime() - next.enteredNs();
            metrics.ringTime().update(waitedNs, TimeUnit.NANOSECONDS);
            lagMs = TimeUnit.NANOSECONDS.toMillis(waitedNs);
            decide(arrivedBefore(next.event(), lagMs));
            lag.waited(lagMs, ring.size(), nowMs);
        }
        return true;
    }

    private static Event arrivedBefore(Event event, long waitedMs) {
        return waitedMs > 0 && event instanceof Event.PeerReceived received ? received.delayed(waitedMs) : event;
    }

    private void tickWhenDue() {
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
        try (Timer.Context timed = metrics.decisionTime().time()) {
            observer.onEvent(event, nowMs);
            List<Action> decided = decider.apply(event, nowMs);
            actions.carryOut(event, decided);
        } catch (RuntimeException fault) {
            metrics.countFault();
            LOG.error(fault, "decision_failed", "error", ErrorType.INTERNAL.number(), "on", event);
            actions.abandon(event);
        }
    }

    /** Ends the thread; every request still open fails towards its caller. */
    @Override
    public void close() {
        closed = true;
        ring.wake();
        try {
            thread.join(JOIN_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        requests.all().forEach(actions::cut);
    }

    /** Collects a duty's neighbours. */
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
        private Consumer<InstanceId> linkCutter = peer -> {};
        private Consumer<Action.KeepCrashes> crashKeeper = kept -> {};

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

        /** @param cutter breaks the link to a peer; it comes up again by itself */
        public Builder linkCutter(Consumer<InstanceId> cutter) {
            this.linkCutter = cutter;
            return this;
        }

        /** @param keeper writes what is held against a request where it outlasts the instances; must not block */
        public Builder crashKeeper(Consumer<Action.KeepCrashes> keeper) {
            this.crashKeeper = keeper;
            return this;
        }

        public DecisionLoop start() {
            return new DecisionLoop(this).start();
        }
    }
}
