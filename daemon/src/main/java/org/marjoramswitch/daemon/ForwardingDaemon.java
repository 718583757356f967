package org.marjoramswitch.daemon;

import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.marjoramswitch.daemon.caller.AdmissionOptions;
import org.marjoramswitch.daemon.caller.CallerOptions;
import org.marjoramswitch.daemon.caller.ForwardServer;
import org.marjoramswitch.daemon.caller.Health;
import org.marjoramswitch.daemon.caller.InfoHandlers;
import org.marjoramswitch.daemon.configuration.RoutedSettingsFollower;
import org.marjoramswitch.daemon.core.KernelStatus;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.fleet.ActiveFleetSettings;
import org.marjoramswitch.daemon.fleet.EvacuationList;
import org.marjoramswitch.daemon.fleet.InstanceRegistration;
import org.marjoramswitch.daemon.fleet.TargetList;
import org.marjoramswitch.daemon.platform.FleetListReader;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.platform.SharedWatchStore;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.daemon.settings.LocalSettings;
import org.marjoramswitch.daemon.settings.LocalSettingsResult;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.daemon.target.TargetProtocol;
import org.marjoramswitch.daemon.target.UndertowTargetClient;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.addresses.SelectionOptions;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.placement.Mechanism;

/**
 * One instance on a platform with its own protocols for routes, targets and callers: the same core as {@link Daemon},
 * with the components that a {@link Platform} supplies instead of the router's own interfaces.
 */
public final class ForwardingDaemon extends BaseInstance {
    /** Delay between two reads of the list of instances, also after a failed read. */
    private static final long LIST_INTERVAL_MS = 500;
    /**
     * Maximum time for which an instance with settings is not ready because it has not read what was known before a
     * restart of the fleet: the list, which holds the blocked poison requests, and the versions of streams. While the
     * store is down, instances serve by the settings of their peers.
     */
    private static final long MAX_RECORDS_WAIT_MS = 2_000;

    private final Platform platform;
    private final InstanceCore core;
    private final RoutedSettingsFollower configuration;
    private final ForwardServer callers;
    private final ActiveFleetSettings settings;
    private volatile boolean finishing;
    private volatile boolean listRead;
    /** When the first settings became active; 0 before. */
    private volatile long settingsSinceMs;

    private ForwardingDaemon(
            LocalSettings local, KernelOptions options, Platform platform, StartedComponents components)
            throws IOException {
        this.platform = platform;
        this.core = InstanceCore.start(
                local,
                components,
                options.withMaxWaiting(local.maxWaiting()),
                (worker, metrics) -> components.add(
                        UndertowTargetClient.start(worker, platform.targets(), platform.protocol(), metrics)),
                new InstanceCore.AddressOptions(platform.callers().times().addressLifetimeMs(), platform.addresses()));
        KeyValueStore ownStore = platform.store().apply(core);
        core.persistStreamsIn(ownStore, platform.targetPrefix(), platform.targetDecoder());
        SharedWatchStore store = components.add(SharedWatchStore.start(
                ownStore, core.self(), core.peers(), core.clock(), core.worker().getIoThread()));
        core.persistCrashesIn(store);
        this.settings = ActiveFleetSettings.create(core.decisions());
        this.callers = components.add(ForwardServer.start(
                new ForwardServer.Parts(
                        local.callers(),
                        platform.additionalListeners().apply(new InstanceView(this)),
                        platform.callers(),
                        platform.decoder(),
                        core.decisions(),
                        settings::routed,
                        () -> core.drainState().hasBegun(),
                        core.decisions()::lagMs,
                        core.clock(),
                        admission(local, options)),
                core.worker(),
                core.metrics()));
        this.configuration = components.add(RoutedSettingsFollower.start(
                store,
                operatorEntries(platform.operatorKeys()),
                platform.settingsDecoder(),
                core.peers(),
                this::onSettings,
                core.clock(),
                core.metrics()));
        core.join(
                (from, message) -> store.onMessage(from, message) || configuration.onMessage(from, message),
                PeerRouter.KeyMessageHandler.NONE,
                store::onView,
                seen -> configuration.onVersionAnnounced(seen.instance(), seen.generation()));
        core.announceHeadroom(callers::headroomPercent);
        components.add(TargetList.start(
                store, platform.targetPrefix(), platform.targetDecoder(), settings::onTargets, core.clock()));
        InstanceRegistration registration = components.add(
                InstanceRegistration.start(store, local, core.self().incarnation()));
        components.add(FleetListReader.start(
                store,
                LIST_INTERVAL_MS,
                core.clock().startMs(),
                core.metrics(),
                list -> {
                    core.onList(list);
                    listRead = true;
                    registration.onListRead(list.instances().containsKey(local.instance()));
                },
                registration.firstAttempt()));
    }

    private AdmissionOptions admission(LocalSettings local, KernelOptions options) {
        return options.placement().has(Mechanism.ADMISSION_CONTROL)
                ? AdmissionOptions.of(
                        local.processorMillicores(),
                        rejected -> core.decisions().offer(new Event.DemandRejected(rejected)))
                : AdmissionOptions.NONE;
    }

    private RoutedSettingsFollower.Source operatorEntries(OperatorKeys keys) {
        EvacuationList evacuations = EvacuationList.of(
                keys.evacuationPrefix(), read -> core.decisions().offer(new Event.DataCentresEvacuated(read)));
        return new RoutedSettingsFollower.Source(keys.prefix(), keys.settingsKey(), evacuations::onEntries);
    }

    /**
     * The keys that the operators write.
     *
     * @param prefix contains all of them
     * @param settingsKey the key of the settings
     * @param evacuationPrefix followed by the name of a data centre that is evacuated
     */
    public record OperatorKeys(String prefix, String settingsKey, String evacuationPrefix) {}

    /**
     * The platform-specific components and options of an instance.
     *
     * @param store starts the client of the key-value store
     * @param targetPrefix the key prefix under which targets register themselves
     * @param additionalListeners the addresses other than the callers', each with its handler
     * @param addresses how the addresses that callers are given are selected
     * @param reload rereads the settings file
     * @param stopAcceptingMs how long requests are still accepted after a graceful shutdown begins, because callers
     *     cache addresses for the lifetime that the address response states
     */
    public record Platform(
            Function<StoreContext, KeyValueStore> store,
            OperatorKeys operatorKeys,
            RoutedSettingsFollower.Decoder settingsDecoder,
            String targetPrefix,
            TargetList.Decoder targetDecoder,
            TargetProtocol protocol,
            TargetClientOptions targets,
            CallerOptions callers,
            CallDecoder decoder,
            Function<InstanceView, Map<HostPort, HttpHandler>> additionalListeners,
            SelectionOptions addresses,
            Supplier<LocalSettingsResult> reload,
            long stopAcceptingMs) {}

    /** The read-only view of an instance for the handlers of additional listeners. */
    public record InstanceView(ForwardingDaemon instance) {
        public Health health() {
            return instance.health();
        }

        /** Selects the addresses to list in a response to a caller in this data centre; empty if there are none. */
        public List<HostPort> addresses(DataCentreId callers) {
            return instance.core.directory().select(callers);
        }

        /** Returns a handler that serves the instance's counters and histograms. */
        public HttpHandler metrics() {
            return InfoHandlers.metrics(instance.core.metrics());
        }
    }

    /**
     * Starts an instance; it is ready once settings are active.
     *
     * @throws RuntimeException if the instance cannot start; caused by a {@link java.net.BindException} if one of its
     *     addresses cannot be bound
     */
    public static ForwardingDaemon start(LocalSettings local, KernelOptions options, Platform platform) {
        return StartedComponents.start(components -> {
            ForwardingDaemon daemon = new ForwardingDaemon(local, options, platform, components);
            daemon.core.logStarted(local.callers());
            return daemon;
        });
    }

    private void onSettings(RoutedSettings newest) {
        callers.applyLimits(newest.limits());
        settings.onSettings(newest);
        settingsSinceMs = settingsSinceMs == 0 ? core.clock().getAsLong() : settingsSinceMs;
        core.announceGeneration(newest.version());
    }

    private Health health() {
        if (core.drainState().hasBegun()) {
            return Health.notReady("the instance is leaving");
        }
        if (settings.routed().version() == 0) {
            return Health.notReady("no settings yet");
        }
        boolean awaitsRecords = core.clock().getAsLong() - settingsSinceMs < MAX_RECORDS_WAIT_MS;
        if (awaitsRecords && !listRead) {
            return Health.notReady("no list of blocked requests yet");
        }
        return awaitsRecords && !core.hasRestoredStreams()
                ? Health.notReady("no versions of streams yet")
                : Health.READY;
    }

    /** Returns the state of the instance's decisions, which may be some milliseconds old. */
    public KernelStatus status() {
        return core.kernel().status();
    }

    /**
     * Announces that the instance is draining, but accepts requests for a while longer: callers cache addresses, and a
     * request rejected here would reach another instance late. Each response closes its connection.
     */
    @Override
    public void drain() {
        if (!core.leave(platform.stopAcceptingMs())) {
            return;
        }
        core.worker().getIoThread().executeAfter(this::finishDrain, platform.stopAcceptingMs(), TimeUnit.MILLISECONDS);
    }

    private void finishDrain() {
        if (!finishing) {
            finishing = true;
            core.finishDrain();
        }
    }

    @Override
    public void reload() {
        LocalSettingsResult read = platform.reload().get();
        if (read instanceof LocalSettingsResult.Invalid invalid) {
            invalid.faults().forEach(fault -> core.logReload("refused", fault.pointer() + ' ' + fault.reason()));
            return;
        }
        boolean same = ((LocalSettingsResult.Valid) read).settings().equals(core.settings());
        core.logReload(
                same ? "unchanged" : "kept", same ? "" : "changes of addresses and names take effect after a restart");
    }

    @Override
    InstanceCore core() {
        return core;
    }
}
