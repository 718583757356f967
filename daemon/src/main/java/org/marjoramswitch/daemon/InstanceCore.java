package org.marjoramswitch.daemon;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.core.DecisionLoop;
import org.marjoramswitch.daemon.core.EventObserver;
import org.marjoramswitch.daemon.core.EventRecorder;
import org.marjoramswitch.daemon.core.KernelDriver;
import org.marjoramswitch.daemon.exchange.TargetClient;
import org.marjoramswitch.daemon.fleet.CustomerSpread;
import org.marjoramswitch.daemon.fleet.FleetDirectory;
import org.marjoramswitch.daemon.fleet.ListedVersions;
import org.marjoramswitch.daemon.fleet.PoisonRequestStore;
import org.marjoramswitch.daemon.fleet.StreamRecordStore;
import org.marjoramswitch.daemon.fleet.TargetList;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.membership.MembershipLoop;
import org.marjoramswitch.daemon.peer.PeerLinks;
import org.marjoramswitch.daemon.platform.FleetList;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.daemon.settings.LocalSettings;
import org.marjoramswitch.daemon.target.ReadBarrier;
import org.marjoramswitch.kernel.InstanceKernel;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.addresses.SelectionOptions;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.membership.ListedInstance;
import org.marjoramswitch.kernel.membership.MemberAddress;
import org.marjoramswitch.kernel.membership.MembershipAction.GenerationSeen;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.replay.RecordingHeader;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The components common to all kinds of instances: the decision loop, the peer links, the membership loop and the
 * graceful shutdown. A concrete instance starts the core, then its own components, and calls {@link #join} once these
 * can process peer messages.
 */
final class InstanceCore implements StoreContext {
    private static final int IO_THREADS = 2;
    private static final int TASK_THREADS = 2;
    /** The history of the list of targets arrives at once if the list has changed. */
    private static final long MAX_HISTORY_WAIT_MS = 400;
    /** Maximum time for writing the final responses of requests that a shutdown ends. */
    private static final long MAX_FINAL_WRITES_MS = 400;

    private static final long FINAL_WRITES_POLL_MS = 5;
    /** Counter maintained by the caller-facing server. */
    private static final String CALLER_OPEN_REQUESTS = "caller.open_requests";

    private static final KeyValueLog LOG = KeyValueLog.of(InstanceCore.class);

    private final LocalSettings settings;
    private final StartedComponents components;
    private final InstanceClock clock = InstanceClock.start();
    private final MetricRegistry metrics = new MetricRegistry();
    private final DeferredPeerSender peers = new DeferredPeerSender();
    private final Member self;
    private final XnioWorker worker;
    private final KernelDriver kernel;
    private final DecisionLoop decisions;
    private final FleetDirectory directory;
    private final Drain drain;
    private volatile @Nullable PeerLinks links;
    /** Null only during the start: components that send it updates start before it. */
    private volatile @Nullable MembershipLoop membership;

    private volatile Consumer<FleetView> viewListener = view -> {};
    /** Null only during the start, before any request is sent to a target. */
    private volatile @Nullable PoisonRequestStore poisonRequestStore;
    /** Null on instances whose streams have no versions. */
    private volatile @Nullable StreamRecordStore streamRecordStore;

    private volatile long generation;

    private InstanceCore(
            LocalSettings settings,
            StartedComponents components,
            KernelOptions options,
            TargetClientFactory targetClients,
            AddressOptions addresses)
            throws IOException {
        this.settings = settings;
        this.components = components;
        this.self = Member.of(settings.instance(), clock.startMs(), settings.dataCentre(), false)
                .withProcessor(settings.processorMillicores());
        ProcessMetrics.register(metrics, settings.processorMillicores());
        this.worker = startWorker();
        this.kernel = KernelDriver.of(InstanceKernel.create(self, options));
        this.decisions = components.add(DecisionLoop.builder(kernel, clock, settings.maxWaiting(), metrics)
                .peers(peers)
                .targets(targetClients.start(worker, metrics))
                .observer(startRecorder(RecordingHeader.of(self, options)))
                .peerDisconnector(peers::disconnect)
                .persister(this::persist)
                .start());
        this.directory = createDirectory(addresses);
        this.drain = components.add(Drain.of(
                () -> decisions.drained().isDone() && hasNoOpenCallerRequests(), clock, settings.drainDeadlineMs()));
    }

    /** Starts the client for targets. */
    @FunctionalInterface
    interface TargetClientFactory {
        TargetClient start(XnioWorker worker, MetricRegistry metrics);
    }

    /**
     * Options of the address responses.
     *
     * @param lifetimeMs how long callers may use a response
     */
    record AddressOptions(long lifetimeMs, SelectionOptions selection) {}

    static InstanceCore start(
            LocalSettings settings,
            StartedComponents components,
            KernelOptions options,
            TargetClientFactory targetClients,
            AddressOptions addresses)
            throws IOException {
        return new InstanceCore(settings, components, options, targetClients, addresses);
    }

    /**
     * Starts the peer links and the membership loop.
     *
     * @param messages processes a peer message that is not for the decision loop; returns false for any other
     * @param views receives each new view, after the decision loop
     * @param generationsSeen notified of an instance that has newer settings
     */
    void join(
            BiPredicate<InstanceId, PeerMessage> messages,
            PeerRouter.KeyMessageHandler keys,
            Consumer<FleetView> views,
            Consumer<GenerationSeen> generationsSeen)
            throws IOException {
        viewListener = views;
        PeerRouter router = PeerRouter.of(directory, decisions, messages, keys, this::onLinkLost);
        PeerLinks started =
                components.add(PeerLinks.start(self, settings.peers(), settings.fleetKey(), router, metrics));
        links = started;
        peers.setLinks(started);
        MembershipLoop joined = components.add(MembershipLoop.start(
                self, peersAddress(), settings.fleetKey(), this::onMembers, generationsSeen, metrics));
        membership = joined;
        // Applies the updates that arrived before the membership loop started.
        joined.announceGeneration(generation);
        started.setPeers(joined.addresses());
    }

    void logStarted(HostPort callers) {
        LOG.info(
                "instance_started",
                "instance",
                self.id(),
                "incarnation",
                self.incarnation(),
                "dataCentre",
                self.dataCentre(),
                "callers",
                callers,
                "peers",
                peersAddress(),
                "startMs",
                clock.getAsLong() - clock.startMs());
    }

    LocalSettings settings() {
        return settings;
    }

    void logReload(String outcome, String reason) {
        LOG.info("settings_file_reload", "instance", self.id(), "outcome", outcome, "reason", reason);
    }

    Member self() {
        return self;
    }

    InstanceClock clock() {
        return clock;
    }

    @Override
    public MetricRegistry metrics() {
        return metrics;
    }

    @Override
    public XnioWorker worker() {
        return worker;
    }

    KernelDriver kernel() {
        return kernel;
    }

    DecisionLoop decisions() {
        return decisions;
    }

    FleetDirectory directory() {
        return directory;
    }

    DeferredPeerSender peers() {
        return peers;
    }

    Drain drainState() {
        return drain;
    }

    HostPort peersAddress() {
        PeerLinks current = links;
        int port = current == null
                ? settings.peers().port()
                : current.boundAddress().getPort();
        return HostPort.of(settings.peers().host(), port);
    }

    /** Persists the crash counts of poison requests in the key-value store from now on. */
    void persistCrashesIn(KeyValueStore store) {
        poisonRequestStore = PoisonRequestStore.of(store, decisions, System::currentTimeMillis, this::after);
    }

    /** Restores the versions of streams from the key-value store, and persists them there from now on. */
    void persistStreamsIn(KeyValueStore store, String targetPrefix, TargetList.Decoder targetDecoder) {
        streamRecordStore = StreamRecordStore.start(
                store,
                ListedVersions.of(store, targetPrefix, targetDecoder, this::after, MAX_HISTORY_WAIT_MS),
                decisions,
                new StreamRecordStore.Clocks(clock, System::currentTimeMillis),
                this::after,
                self.id().name() + '-' + self.incarnation());
    }

    /** Whether what former lifetimes persisted about streams has been read. */
    boolean hasRestoredStreams() {
        StreamRecordStore current = streamRecordStore;
        return current != null && current.isRestored();
    }

    private void after(long delayMs, Runnable task) {
        worker.getIoThread().executeAfter(task, delayMs, MILLISECONDS);
    }

    private void persist(Action.Persist persisted) {
        PoisonRequestStore crashes = poisonRequestStore;
        StreamRecordStore streams = streamRecordStore;
        if (persisted instanceof Action.KeepCrashes kept && crashes != null) {
            crashes.save(kept);
        } else if (persisted instanceof Action.PersistVersions versions && streams != null) {
            streams.save(versions);
        } else if (persisted instanceof Action.PersistStreams begun && streams != null) {
            streams.save(begun);
        }
    }

    /** Announces to peers the generation of settings that is active on this instance. */
    void announceGeneration(long newGeneration) {
        generation = newGeneration;
        MembershipLoop current = membership;
        if (current != null) {
            current.announceGeneration(newGeneration);
        }
    }

    /** Announces this headroom, in percent, to the other instances from now on; called after {@link #join}. */
    void announceHeadroom(IntSupplier headroomPercent) {
        MembershipLoop current = membership;
        if (current != null) {
            current.announceHeadroom(headroomPercent);
        }
    }

    /** Applies a newly read list of instances, draining targets and crashes. */
    void onList(FleetList list) {
        Map<InstanceId, ListedInstance> instances = new TreeMap<>();
        list.instances()
                .forEach((id, instance) -> instances.put(
                        id,
                        ListedInstance.of(
                                MemberAddress.of(
                                        instance.peers().host(),
                                        instance.peers().port()),
                                instance.dataCentre(),
                                instance.incarnation())));
        MembershipLoop current = membership;
        if (current != null) {
            current.listRead(instances);
        }
        directory.setListed(list.instances());
        decisions.offer(new Event.TargetsLeaving(new TreeSet<>(list.leavingTargets())));
        PoisonRequestStore store = poisonRequestStore;
        if (store != null) {
            store.onListRead(list.crashes());
        }
    }

    /**
     * Announces to peers that this instance is draining; false if it already was.
     *
     * @param acceptingMs how long the instance still accepts requests that can end before the drain does
     */
    boolean leave(long acceptingMs) {
        if (!drain.begin(acceptingMs)) {
            return false;
        }
        decisions.offer(new Event.StopStarted(drain.endsAtMs()));
        LOG.info(
                "drain_started",
                "instance",
                self.id(),
                "openRequests",
                kernel.status().openRequests());
        MembershipLoop current = membership;
        if (current != null) {
            current.leave();
        }
        return true;
    }

    /** Rejects new requests from now on and starts waiting for the open ones to end. */
    void finishDrain() {
        decisions.offer(new Event.DrainStarted());
        drain.startWaiting();
    }

    void close() {
        LOG.info(
                "instance_stopped",
                "instance",
                self.id(),
                "openRequests",
                kernel.status().openRequests());
        decisions.close();
        awaitResponses();
        components.close();
    }

    /**
     * Closing the worker drops requests that its threads have not read yet, which nothing counts as open, and responses that
     * they have not written yet.
     */
    private void awaitResponses() {
        long startMs = clock.getAsLong();
        long endMs = startMs + MAX_FINAL_WRITES_MS;
        try {
            boolean allRead = afterReads().await(MAX_FINAL_WRITES_MS, MILLISECONDS);
            LOG.info("final_requests_read", "instance", self.id(), "whole", allRead);
            while (!hasNoOpenCallerRequests() && clock.getAsLong() < endMs) {
                MILLISECONDS.sleep(FINAL_WRITES_POLL_MS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        LOG.info(
                "final_responses_written",
                "instance",
                self.id(),
                "whole",
                hasNoOpenCallerRequests(),
                "elapsedMs",
                clock.getAsLong() - startMs);
    }

    /** Returns a latch that opens once each I/O thread has read the sockets that are readable now. */
    private CountDownLatch afterReads() {
        XnioWorker current = worker();
        CountDownLatch unread = new CountDownLatch(current.getIoThreadCount());
        for (int i = 0; i < current.getIoThreadCount(); i++) {
            XnioIoThread thread = current.getIoThread(i);
            try {
                thread.execute(() -> ReadBarrier.of(thread).afterReads(unread::countDown));
            } catch (RejectedExecutionException closedAlready) {
                unread.countDown();
            }
        }
        return unread;
    }

    private XnioWorker startWorker() throws IOException {
        XnioWorker started = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, "duties")
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.WORKER_TASK_CORE_THREADS, TASK_THREADS)
                        .set(Options.WORKER_TASK_MAX_THREADS, TASK_THREADS)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        return components.add(started, started::shutdownNow);
    }

    private EventObserver startRecorder(RecordingHeader header) throws IOException {
        String file = settings.recordFile();
        return file == null ? EventObserver.NONE : components.add(EventRecorder.start(Path.of(file), header));
    }

    /** The decision loop may have finished a request whose response the caller is still reading. */
    private boolean hasNoOpenCallerRequests() {
        return metrics.counter(CALLER_OPEN_REQUESTS).getCount() == 0;
    }

    private FleetDirectory createDirectory(AddressOptions addresses) {
        CustomerSpread spread = CustomerSpread.of(self.id(), decisions::openRequests, addresses.lifetimeMs());
        return FleetDirectory.of(
                self,
                settings.callers(),
                (customer, eligible) -> spread.spread(customer, eligible, clock.getAsLong()),
                new FleetDirectory.Selection(addresses.selection(), this::incompleteHeadroom, clock, metrics),
                this::onView);
    }

    private Map<InstanceId, Integer> incompleteHeadroom() {
        MembershipLoop current = membership;
        return current == null ? Map.of() : current.incompleteHeadroom();
    }

    private void onView(FleetView view) {
        decisions.offer(new Event.ViewChanged(view));
        viewListener.accept(view);
    }

    private void onMembers(FleetView members) {
        MembershipLoop current = membership;
        PeerLinks opened = links;
        if (current != null && opened != null) {
            opened.setPeers(current.addresses());
        }
        directory.setMembers(members);
    }

    private void onLinkLost(InstanceId peer) {
        MembershipLoop current = membership;
        if (current != null) {
            current.linkLost(peer);
        }
    }
}
