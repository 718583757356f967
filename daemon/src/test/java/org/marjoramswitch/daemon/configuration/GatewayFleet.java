package org.marjoramswitch.daemon.configuration;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.marjoramswitch.daemon.platform.EtcdGatewayStore;
import org.marjoramswitch.daemon.platform.KeyValueOptions;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.testkit.platform.KeyValueGateway;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Configuration loops of several instances, each with its own loopback client of a simulated key-value store. */
final class GatewayFleet implements AutoCloseable {
    private static final String KEY = "settings/floor/base";

    final KeyValueGateway gateway = KeyValueGateway.start();
    final FakeFleet instances;
    private final XnioWorker worker;
    private final List<KeyValueStore> stores = new ArrayList<>();

    private GatewayFleet(ConfigurationOptions options, int size) throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 2)
                        .set(Options.WORKER_TASK_CORE_THREADS, 2)
                        .set(Options.WORKER_TASK_MAX_THREADS, 2)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        instances = FakeFleet.start(this::newStore, options, size);
    }

    private KeyValueStore newStore() {
        List<HostPort> addresses = List.of(HostPort.of(gateway.host(), gateway.port()));
        KeyValueStore store = EtcdGatewayStore.start(addresses, KeyValueOptions.of(7), worker, new MetricRegistry());
        stores.add(store);
        return store;
    }

    static GatewayFleet start(ConfigurationOptions options, int size) throws IOException {
        return new GatewayFleet(options, size);
    }

    void put(int weight) {
        gateway.put(KEY, "{\"customers\":{\"acme\":{\"weight\":" + weight + ",\"apiKeysSha256\":[]}}}");
    }

    @Override
    public void close() {
        instances.close();
        stores.forEach(KeyValueStore::close);
        gateway.close();
        worker.shutdown();
    }
}
