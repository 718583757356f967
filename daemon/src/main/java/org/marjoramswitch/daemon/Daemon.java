package org.marjoramswitch.daemon;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.caller.CallerOptions;
import org.marjoramswitch.daemon.caller.CallerServer;
import org.marjoramswitch.daemon.caller.Claims;
import org.marjoramswitch.daemon.caller.Health;
import org.marjoramswitch.daemon.caller.RequestKeys;
import org.marjoramswitch.daemon.configuration.ConfigurationLoop;
import org.marjoramswitch.daemon.configuration.ConfigurationOptions;
import org.marjoramswitch.daemon.core.KernelStatus;
import org.marjoramswitch.daemon.exchange.TargetClient;
import org.marjoramswitch.daemon.platform.ClaimOptions;
import org.marjoramswitch.daemon.platform.ClaimStore;
import org.marjoramswitch.daemon.platform.EtcdGatewayStore;
import org.marjoramswitch.daemon.platform.FleetListReader;
import org.marjoramswitch.daemon.platform.KeyValueOptions;
import org.marjoramswitch.daemon.platform.PlatformClaims;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.daemon.settings.LocalSettings;
import org.marjoramswitch.daemon.target.LoadReader;
import org.marjoramswitch.daemon.target.LoadReaderOptions;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.daemon.target.UndertowTargetClient;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.addresses.SelectionOptions;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.xnio.XnioWorker;

/**
 * One instance of the router with all its components.
 *
 * <p>The decision loop is central: callers, peers, targets and the key-value store feed it events and carry out its
 * decisions. Components start in dependency order, so that each finds the components it uses running, and close in the
 * reverse order.
 */
public final class Daemon extends BaseInstance {
    /** The longest wait for a target that the settings schema allows for a pool. */
    private static final long MAX_WAIT_MS = 300_000;

    private final LocalSettings settings;
    private final StartedComponents components;
    private final InstanceCore core;
    private final ConfigurationLoop configuration;
    private final CallerServer callers;
    private @Nullable UndertowTargetClient targets;
    private volatile FleetSettings fleetSettings = FleetSettings.NONE;

    /** Callers of this kind of instance get their addresses by customer, from the address endpoint. */
    private static final SelectionOptions NO_SELECTION = new SelectionOptions(Integer.MAX_VALUE, false);

    private Daemon(LocalSettings settings, StartedComponents components) throws IOException {
        this.settings = settings;
        this.components = components;
        CallerOptions callerOptions =
                CallerOptions.builder().maxBodyBytes(settings.maxBodyBytes()).build();
        KernelOptions options = KernelOptions.defaults().withMaxWaiting(settings.maxWaiting());
        this.core = InstanceCore.start(
                settings,
                components,
                options,
                this::startTargets,
                new InstanceCore.AddressOptions(callerOptions.times().addressLifetimeMs(), NO_SELECTION));
        EtcdGatewayStore store = startStore();
        core.persistCrashesIn(store);
        startLoadReader();
        this.configuration = components.add(ConfigurationLoop.start(
                core.self(), store, core.peers(), this::onSettings, ConfigurationOptions.DEFAULT, core.metrics()));
        RequestKeys keys = RequestKeys.create(
                core.self(), callerOptions, core.peers(), core.directory(), core.clock(), System::currentTimeMillis);
        this.callers = startCallers(callerOptions, keys, startClaims(store));
        core.directory().setSelfCallers(callers.boundAddress());
        core.join(
                configuration::onMessage,
                keys::onMessage,
                configuration::onView,
                seen -> configuration.onGenerationAnnounced(seen.instance(), seen.generation()));
        components.add(FleetListReader.start(
                store, FleetListReader.DEFAULT_PERIOD_MS, core.clock().startMs(), core.metrics(), core::onList));
    }

    /**
     * Starts an instance; it is ready once it has accepted settings.
     *
     * @throws RuntimeException if the instance cannot start; caused by a {@link java.net.BindException} if one of its
     *     addresses cannot be bound
     */
    public static Daemon start(LocalSettings settings) {
        return StartedComponents.start(components -> {
            Daemon daemon = new Daemon(settings, components);
            daemon.core.logStarted(daemon.callersAddress());
            return daemon;
        });
    }

    private TargetClient startTargets(XnioWorker worker, MetricRegistry metrics) {
        UndertowTargetClient started =
                components.add(UndertowTargetClient.start(worker, TargetClientOptions.defaults(), metrics));
        targets = started;
        return started;
    }

    private EtcdGatewayStore startStore() {
        KeyValueOptions options = KeyValueOptions.of(settings.instance().name().hashCode());
        return components.add(EtcdGatewayStore.start(settings.platform(), options, core.worker(), core.metrics()));
    }

    private void startLoadReader() {
        UndertowTargetClient client = Objects.requireNonNull(targets);
        components.add(LoadReader.start(
                client, LoadReaderOptions.defaults(), core.clock(), this::arbitratedEngines, core.decisions()::offer));
    }

    private Claims startClaims(EtcdGatewayStore store) {
        ClaimStore claims = components.add(ClaimStore.start(
                store,
                store,
                ClaimOptions.defaults(),
                core.self().id(),
                core.self().incarnation(),
                core.metrics(),
                core.clock()));
        return PlatformClaims.of(claims, MAX_WAIT_MS, core.clock());
    }

    private CallerServer startCallers(CallerOptions options, RequestKeys keys, Claims claims) {
        return components.add(CallerServer.start(
                settings.callers(),
                options,
                core.decisions(),
                keys,
                claims,
                core.directory(),
                () -> fleetSettings,
                this::health,
                core.clock(),
                core.metrics()));
    }

    private void onSettings(FleetSettings accepted) {
        // First, so that no request on a new pool reaches the decision loop before the pool does.
        core.decisions().offer(new Event.SettingsAccepted(accepted));
        fleetSettings = accepted;
        core.announceGeneration(accepted.generation());
    }

    /** The model engines that this instance arbitrates; plain services report no load. */
    private List<TargetSettings> arbitratedEngines() {
        FleetSettings current = fleetSettings;
        return status().arbitratedTargets().stream()
                .filter(target -> isEngine(current.pools().get(target.pool())))
                .toList();
    }

    private static boolean isEngine(@Nullable PoolSettings pool) {
        return pool != null && pool.kind() == TargetKind.MODEL_ENGINE;
    }

    /** The address that callers connect to, with the actual port if the configured port is 0. */
    public HostPort callersAddress() {
        return callers.boundAddress();
    }

    /** The address that peers connect to, with the actual port if the configured port is 0. */
    public HostPort peersAddress() {
        return core.peersAddress();
    }

    /** Whether the instance accepts new requests. */
    public boolean isReady() {
        return health().ready();
    }

    /** Number of known instances that are alive and not draining, including this one. */
    public int reachableInstances() {
        return core.directory().eligible().size();
    }

    /** A snapshot of the kernel's state, which may be some milliseconds old. */
    public KernelStatus status() {
        return core.kernel().status();
    }

    public MetricRegistry metrics() {
        return core.metrics();
    }

    private Health health() {
        if (core.drainState().hasBegun()) {
            return Health.notReady("the instance is leaving");
        }
        return fleetSettings.generation() == 0 ? Health.notReady("no accepted settings yet") : Health.READY;
    }

    /** Announces that the instance is draining, rejects new requests and finishes the open ones. */
    @Override
    public void drain() {
        if (core.leave(0)) {
            core.finishDrain();
        }
    }

    /** Only logs: the file holds addresses and names, which are fixed for the lifetime of the instance. */
    @Override
    public void reload() {
        core.logReload("kept", "the settings file is read only at startup");
    }

    @Override
    InstanceCore core() {
        return core;
    }
}
