package org.marjoramswitch.daemon.membership;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.addresses.HeadroomRamp;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.membership.Datagram;
import org.marjoramswitch.kernel.membership.FailureDetector;
import org.marjoramswitch.kernel.membership.FailureDetectorOptions;
import org.marjoramswitch.kernel.membership.ListedInstance;
import org.marjoramswitch.kernel.membership.MemberAddress;
import org.marjoramswitch.kernel.membership.MembershipAction;
import org.marjoramswitch.kernel.membership.MembershipAction.GenerationSeen;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.wire.DatagramCodec;
import org.marjoramswitch.kernel.wire.DatagramResult;

/**
 * Runs the failure detector on one thread with one UDP socket, at the same host and port number as the TCP address for
 * peers.
 *
 * <p>Updates from other threads (a list of instances, a generation, the start of draining) replace the previous one of
 * their kind and are not queued. Only hints of lost links are queued, in a small ring; if it is full, the hint is
 * dropped and counted, because every member is probed periodically anyway.
 */
public final class MembershipLoop implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(MembershipLoop.class);
    private static final long TICK_INTERVAL_MS = 50;
    private static final long GENERATIONS_INTERVAL_MS = 500;
    private static final long CLOSE_TIMEOUT_MS = 2_000;
    private static final int MAX_DATAGRAMS_PER_PASS = 256;
    private static final int MAX_QUEUED_HINTS = 256;

    private final FailureDetector detector;
    private final DatagramCodec codec;
    private final DatagramChannel channel;
    private final Selector selector;
    private final InetSocketAddress boundAddress;
    private final Consumer<FleetView> views;
    private final Consumer<GenerationSeen> generationsSeen;
    private final MembershipMetrics metrics;
    private final Thread thread;
    private final ByteBuffer received = ByteBuffer.allocate(DatagramCodec.MAX_BYTES + 1);
    private final AtomicReference<@Nullable Map<InstanceId, ListedInstance>> pendingList = new AtomicReference<>();
    private final AtomicLong generation = new AtomicLong();
    private final Queue<InstanceId> lostLinks = new MpscArrayQueue<>(MAX_QUEUED_HINTS);
    private volatile Map<InstanceId, HostPort> addresses = Map.of();
    private volatile Map<InstanceId, Long> generations = Map.of();
    private final HeadroomRamp headroomRamp = HeadroomRamp.create();
    private volatile IntSupplier measuredHeadroom = () -> HeadroomRamp.FULL_PERCENT;
    private volatile Map<InstanceId, Integer> incompleteHeadroom = Map.of();
    private volatile boolean leaving;
    private volatile boolean closed;
    private long nextTickMs;
    private long nextGenerationsMs;
    /** Last logged transition: whether the headroom was exhausted and has not been complete since. */
    private boolean headroomExhausted;

    private MembershipLoop(
            Member self,
            String fleetKey,
            DatagramChannel channel,
            Selector selector,
            Consumer<FleetView> views,
            Consumer<GenerationSeen> generationsSeen,
            MembershipMetrics metrics)
            throws IOException {
        long seed = self.incarnation() * 31 + self.id().hashCode();
        this.detector = FailureDetector.create(self, FailureDetectorOptions.DEFAULTS, seed);
        this.codec = DatagramCodec.create(fleetKey);
        this.channel = channel;
        this.selector = selector;
        this.boundAddress = (InetSocketAddress) channel.getLocalAddress();
        this.views = views;
        this.generationsSeen = generationsSeen;
        this.metrics = metrics;
        this.thread = new Thread(this::run, "membership");
        this.thread.setDaemon(true);
    }

    /** Like the other {@code start}, without a listener for newer generations. */
    public static MembershipLoop start(
            Member self, HostPort bind, String fleetKey, Consumer<FleetView> views, MetricRegistry registry)
            throws IOException {
        return start(self, bind, fleetKey, views, seen -> {}, registry);
    }

    /**
     * Binds the address and starts the thread; throws if the address cannot be bound.
     *
     * @param views receives each new view on the loop's thread; must not block
     * @param generationsSeen notified on the loop's thread of an instance whose generation of settings is newer than
     *     the one announced here; must not block
     */
    public static MembershipLoop start(
            Member self,
            HostPort bind,
            String fleetKey,
            Consumer<FleetView> views,
            Consumer<GenerationSeen> generationsSeen,
            MetricRegistry registry)
            throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.bind(bind.toSocketAddress());
        channel.configureBlocking(false);
        Selector selector = Selector.open();
        channel.register(selector, SelectionKey.OP_READ);
        MembershipMetrics metrics = MembershipMetrics.create(registry);
        MembershipLoop loop = new MembershipLoop(self, fleetKey, channel, selector, views, generationsSeen, metrics);
        loop.thread.start();
        return loop;
    }

    public InetSocketAddress boundAddress() {
        return boundAddress;
    }

    /** The addresses of the other members of the view; updated before the view's listener is notified. */
    public Map<InstanceId, HostPort> addresses() {
        return addresses;
    }

    /** The generation of settings that each member last announced as active. */
    public Map<InstanceId, Long> generations() {
        return generations;
    }

    /** Applies a newly read list of instances. */
    public void listRead(Map<InstanceId, ListedInstance> instances) {
        pendingList.set(Map.copyOf(instances));
    }

    /** Announces the generation of settings that is active on this instance; an older one is ignored. */
    public void announceGeneration(long newGeneration) {
        generation.accumulateAndGet(newGeneration, Math::max);
    }

    /**
     * Sets the source of this instance's headroom in percent; it is called on the loop's thread, must not block and
     * announces nothing by itself: datagrams that are sent anyway carry the headroom.
     */
    public void announceHeadroom(IntSupplier headroomPercent) {
        measuredHeadroom = headroomPercent;
    }

    /** The headroom of the instances in the view for which it is known to be below 100%. */
    public Map<InstanceId, Integer> incompleteHeadroom() {
        return incompleteHeadroom;
    }

    /** Reports that the link to a member broke or fell silent, so that the member is probed ahead of schedule. */
    public void linkLost(InstanceId member) {
        if (!lostLinks.offer(member)) {
            metrics.hintsDropped.inc();
        }
    }

    /** Announces that this instance begins its graceful shutdown. */
    public void leave() {
        leaving = true;
        selector.wakeup();
    }

    /** Notifies the other members that this instance departs, and stops the thread. */
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

    private void run() {
        try (channel;
                selector) {
            while (!closed) {
                selector.select(Math.max(1, nextTickMs - nowMs()));
                selector.selectedKeys().clear();
                receiveAll();
                applyPendingUpdates(nowMs());
                tick(nowMs());
            }
            perform(detector.onDepart(nowMs()));
        } catch (IOException | RuntimeException e) {
            LOG.error(e, "membership_failed", "error", ErrorType.INTERNAL.number());
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void receiveAll() throws IOException {
        for (int i = 0; i < MAX_DATAGRAMS_PER_PASS; i++) {
            received.clear();
            SocketAddress from = channel.receive(received);
            if (from == null) {
                return;
            }
            receive((InetSocketAddress) from, nowMs());
        }
    }

    private void receive(InetSocketAddress from, long nowMs) {
        int lengthBytes = received.position();
        metrics.datagramsIn.inc();
        metrics.bytesIn.mark(lengthBytes);
        DatagramResult result = codec.decode(received.array(), lengthBytes);
        if (result instanceof DatagramResult.Malformed malformed) {
            // Counted and not logged, because an unauthenticated sender could flood the log with small datagrams.
            metrics.countMalformed(malformed.fault());
        } else if (result instanceof DatagramResult.Decoded decoded) {
            MemberAddress address = MemberAddress.of(from.getAddress().getHostAddress(), from.getPort());
            // A fault in processing one datagram must not stop the thread.
            runGuarded(() -> perform(detector.onDatagram(address, decoded.datagram(), nowMs)));
        }
    }

    private void applyPendingUpdates(long nowMs) {
        Map<InstanceId, ListedInstance> list = pendingList.getAndSet(null);
        if (list != null) {
            perform(detector.onListRead(list, nowMs));
        }
        for (InstanceId lost = lostLinks.poll(); lost != null; lost = lostLinks.poll()) {
            detector.onLinkLost(lost);
        }
        detector.announceGeneration(generation.get());
        if (leaving) {
            perform(detector.onLeave(nowMs));
        }
    }

    private void tick(long nowMs) {
        if (nowMs < nextTickMs) {
            return;
        }
        nextTickMs = nowMs + TICK_INTERVAL_MS;
        updateHeadroom(nowMs);
        perform(detector.onTick(nowMs));
        if (nowMs >= nextGenerationsMs) {
            nextGenerationsMs = nowMs + GENERATIONS_INTERVAL_MS;
            generations = Map.copyOf(detector.generations());
            incompleteHeadroom = Map.copyOf(detector.incompleteHeadroom(nowMs));
        }
    }

    private void updateHeadroom(long nowMs) {
        int percent = headroomRamp.update(measuredHeadroom.getAsInt(), nowMs);
        detector.announceHeadroom(percent);
        metrics.setHeadroom(percent);
        if (!headroomExhausted && percent <= 0) {
            headroomExhausted = true;
            LOG.info("headroom_exhausted");
        } else if (headroomExhausted && percent >= HeadroomRamp.FULL_PERCENT) {
            headroomExhausted = false;
            LOG.info("headroom_restored");
        }
    }

    private void perform(List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.Send send) {
                send(send.to(), send.datagram());
            } else if (action instanceof MembershipAction.ViewChanged changed) {
                publishView(changed);
            } else if (action instanceof GenerationSeen seen) {
                runGuarded(() -> generationsSeen.accept(seen));
            } else if (action instanceof MembershipAction.MemberChanged changed) {
                reportMemberChange(changed);
            }
        }
    }

    private void send(MemberAddress to, Datagram datagram) {
        byte[] bytes = codec.encode(datagram);
        // Only literal IP addresses are used, so that this thread never blocks on a name lookup.
        if (bytes.length > DatagramCodec.MAX_BYTES || !HostPort.isIpAddress(to.host())) {
            metrics.datagramsNotSent.inc();
            return;
        }
        try {
            int sentBytes = channel.send(ByteBuffer.wrap(bytes), new InetSocketAddress(to.host(), to.port()));
            metrics.datagramsOut.inc(sentBytes > 0 ? 1 : 0);
            metrics.datagramsNotSent.inc(sentBytes > 0 ? 0 : 1);
            metrics.bytesOut.mark(sentBytes);
        } catch (IOException | IllegalArgumentException e) {
            // The protocol tolerates lost datagrams.
            metrics.datagramsNotSent.inc();
        }
    }

    private void publishView(MembershipAction.ViewChanged changed) {
        Map<InstanceId, HostPort> newAddresses = new TreeMap<>();
        changed.addresses().forEach((id, address) -> newAddresses.put(id, HostPort.of(address.host(), address.port())));
        addresses = Map.copyOf(newAddresses);
        metrics.setMembers(changed.view().members().size());
        LOG.info(
                "membership_view",
                "members",
                changed.view().members().size(),
                "eligible",
                changed.view().eligible().size(),
                "awaited",
                changed.view().awaited());
        runGuarded(() -> views.accept(changed.view()));
    }

    private void reportMemberChange(MembershipAction.MemberChanged changed) {
        metrics.countChange(changed.change());
        LOG.info(
                "member_" + changed.change().name().toLowerCase(Locale.ROOT),
                "instance",
                changed.instance(),
                "incarnation",
                changed.incarnation());
    }

    private static void runGuarded(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.error(e, "membership_error", "error", ErrorType.INTERNAL.number());
        }
    }
}
