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
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.xnio.XnioWorker;

/**
 * One instance of the product with all its duties joined.
 *
 * <p>Everything hangs on the deciding duty: callers, peers, targets and the platform's service feed it events, and it
 * has its decisions carried out by them. The duties start from the inside out, so that none speaks before what it
 * speaks to is there, and close in the reverse order.
 */
public final class Daemon extends BaseInstance {
    /** The settings' schema allows no pool a longer wait for a target. */
    private static final long LONGEST_WAIT_MS = 300_000;

    private final LocalSettings settings;
    private final StartedComponents components;
    private final InstanceCore core;
    private final ConfigurationLoop configuration;
    private final CallerServer callers;
    private @Nullable UndertowTargetClient targets;
    private volatile FleetSettings fleetSettings = FleetSettings.NONE;

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
                callerOptions.times().addressKeepMs());
        EtcdGatewayStore store = startStore();
        core.keepCrashesIn(store);
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
     * @throws RuntimeException where it cannot start, caused by a {@link java.net.BindException} where one of its
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
        return PlatformClaims.of(claims, LONGEST_WAIT_MS, core.clock());
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
        fleetSettings = accepted;
        core.announceGeneration(accepted.generation());
        core.decisions().offer(new Event.SettingsAccepted(accepted));
    }

    /** The engines whose load matters here; plain services report none. */
    private List<TargetSettings> arbitratedEngines() {
        FleetSettings current = fleetSettings;
        return status().arbitratedTargets().stream()
                .filter(target -> isEngine(current.pools().get(target.pool())))
                .toList();
    }

    private static boolean isEngine(@Nullable PoolSettings pool) {
        return pool != null && pool.kind() == TargetKind.MODEL_ENGINE;
    }

    /** Where callers connect; tells the port where port 0 was asked for. */
    public HostPort callersAddress() {
        return callers.boundAddress();
    }

    /** Where peers connect; tells the port where port 0 was asked for. */
    public HostPort peersAddress() {
        return core.peersAddress();
    }

    /** True while the instance takes new requests. */
    public boolean isReady() {
        return health().ready();
    }

    /** How many instances this one knows to be there and not leaving, itself included. */
    public int reachableInstances() {
        return core.directory().eligible().size();
    }

    /** What the kernel was about some milliseconds ago. */
    public KernelStatus status() {
        return core.kernel().status();
    }

    public MetricRegistry metrics() {
        return core.metrics();
    }

    private Health health() {
        if (core.drainState().begun()) {
            return Health.notReady("the instance is leaving");
        }
        return fleetSettings.generation() == 0 ? Health.notReady("no accepted settings yet") : Health.READY;
    }

    /** The instance says that it leaves, refuses new requests and finishes the ones that it has. */
    @Override
    public void drain() {
        if (core.leave()) {
            core.finish();
        }
    }

    /** The file holds addresses and names, which are the instance's for its whole life. */
    @Override
    public void reload() {
        core.logReload("kept", "the file is read at the start only");
    }

    @Override
    InstanceCore core() {
        return core;
    }
}
