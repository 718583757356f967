package org.marjoramswitch.testsuite.path;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.marjoramswitch.daemon.Daemon;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.daemon.settings.LocalSettings;
import org.marjoramswitch.kernel.misc.Sha256;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;
import org.marjoramswitch.testkit.platform.KeyValueGateway;
import org.marjoramswitch.testkit.service.PlainService;

/** Several daemons in this process, over sockets of 127.0.0.1, with stand-ins of the platform and of targets. */
final class TestFleet implements AutoCloseable {
    static final String MODEL = "manifest-lm";
    static final String SERVICE = "harbour-app";
    private static final String FLEET_KEY = "a-fleet-key-for-tests";
    private static final HostPort ANY_PORT = HostPort.of("127.0.0.1", 0);
    private static final long PATIENCE_NS = TimeUnit.SECONDS.toNanos(30);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final KeyValueGateway platform = KeyValueGateway.start();
    private final EngineOptions engineOptions;
    private final List<ModelEngine> engines = new ArrayList<>();
    private final PlainService service = PlainService.start(5, 60_000);
    private final Map<String, Daemon> daemons = new TreeMap<>();
    private final ObjectNode document = JSON.createObjectNode();

    private TestFleet(EngineOptions engineOptions) {
        this.engineOptions = engineOptions;
    }

    /** A fleet with these engines, a plain service and customers, and no instance yet. */
    static TestFleet of(int engineCount, EngineOptions options, String... customers) {
        TestFleet fleet = new TestFleet(options);
        ObjectNode pools = fleet.document.putObject("pools");
        pools.putObject(MODEL).put("kind", "model-engine").put("progressTimeoutMs", 2_000);
        pools.putObject(SERVICE).put("kind", "plain-service").put("progressTimeoutMs", 2_000);
        ObjectNode targets = fleet.document.putObject("targets");
        for (int i = 1; i <= engineCount; i++) {
            ModelEngine engine = ModelEngine.start(options);
            fleet.engines.add(engine);
            putTarget(targets, "engine-" + i, MODEL, engine.port(), 16);
        }
        putTarget(targets, "service-1", SERVICE, fleet.service.port(), 4);
        ObjectNode named = fleet.document.putObject("customers");
        for (String customer : customers) {
            named.putObject(customer).putArray("apiKeysSha256").add(Sha256.hex(apiKey(customer)));
        }
        fleet.putSettings();
        return fleet;
    }

    private static void putTarget(ObjectNode targets, String id, String pool, int port, int slots) {
        targets.putObject(id)
                .put("pool", pool)
                .put("address", "127.0.0.1:" + port)
                .put("dataCentre", "leith-a")
                .put("slots", slots);
    }

    /** Writes the operators' settings as they stand in {@link #document()}. */
    void putSettings() {
        platform.put("settings/piers/base", document.toString());
    }

    ObjectNode document() {
        return document;
    }

    static String apiKey(String customer) {
        return "key-of-" + customer;
    }

    /** Starts instances entry-1 and on, lists them, and waits until all are ready and know one another. */
    TestFleet startInstances(int count) {
        for (int i = 1; i <= count; i++) {
            startInstance("entry-" + i);
        }
        awaitReady();
        return this;
    }

    Daemon startInstance(String name) {
        Daemon daemon = start(name, ANY_PORT, ANY_PORT);
        list(name, "live");
        return daemon;
    }

    /** Kills an instance; it comes back empty, at the same addresses and without a word to the platform. */
    Daemon restartInstance(String name) {
        HostPort callers = daemons.get(name).callersAddress();
        HostPort peers = daemons.get(name).peersAddress();
        kill(name);
        return start(name, callers, peers);
    }

    private Daemon start(String name, HostPort callers, HostPort peers) {
        LocalSettings settings = LocalSettings.of(
                InstanceId.of(name),
                DataCentreId.of("leith-a"),
                callers,
                peers,
                List.of(HostPort.of(platform.host(), platform.port())),
                FLEET_KEY);
        Daemon daemon = Daemon.start(settings);
        daemons.put(name, daemon);
        return daemon;
    }

    void list(String name, String state) {
        Daemon daemon = daemons.get(name);
        platform.putInstance(
                name, daemon.callersAddress().toString(), daemon.peersAddress().toString(), "leith-a", state);
    }

    /** Ends an instance as a kill does: nothing is announced, and open connections break. */
    void kill(String name) {
        daemons.remove(name).close();
    }

    void awaitReady() {
        await("instances ready", () -> daemons.values().stream().allMatch(Daemon::isReady));
        await(
                "instances in every view",
                () -> daemons.values().stream().allMatch(daemon -> daemon.reachableInstances() >= daemons.size()));
    }

    Daemon daemon(String name) {
        return daemons.get(name);
    }

    List<String> names() {
        return List.copyOf(daemons.keySet());
    }

    /** The instance that grants the first cell of the pool. */
    String arbiterOf(String pool) {
        return names().stream()
                .filter(name -> daemons.get(name).status().arbitratedCells().stream()
                        .anyMatch(cell -> cell.pool().name().equals(pool)))
                .findFirst()
                .orElse("");
    }

    TestCaller caller(String instance, String customer) {
        return TestCaller.of(daemons.get(instance).callersAddress(), apiKey(customer));
    }

    /** A client at each instance but one. */
    List<TestCaller> callersExcept(String instance, String customer) {
        return names().stream()
                .filter(name -> !name.equals(instance))
                .map(name -> caller(name, customer))
                .toList();
    }

    KeyValueGateway platform() {
        return platform;
    }

    List<ModelEngine> engines() {
        return engines;
    }

    EngineOptions engineOptions() {
        return engineOptions;
    }

    PlainService service() {
        return service;
    }

    /** Waits until the condition holds; fails where it does not come to hold. */
    static void await(String what, BooleanSupplier condition) {
        long giveUpNs = System.nanoTime() + PATIENCE_NS;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < giveUpNs, "waited in vain for: " + what);
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(5);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    @Override
    public void close() {
        daemons.values().forEach(Daemon::close);
        engines.forEach(ModelEngine::close);
        service.close();
        platform.close();
    }
}
