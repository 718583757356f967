package org.marjoramswitch.tool.settings;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.List;
import org.marjoramswitch.daemon.platform.EtcdGatewayStore;
import org.marjoramswitch.daemon.platform.KeyValueOptions;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Connection to the platform's key-value store for the duration of one command. */
public final class PlatformConnection implements AutoCloseable {
    private final XnioWorker worker;
    private final KeyValueStore store;

    private PlatformConnection(XnioWorker worker, KeyValueStore store) {
        this.worker = worker;
        this.store = store;
    }

    public static PlatformConnection open(List<HostPort> addresses, KeyValueOptions keyValue) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.WORKER_NAME, "platform")
                .set(Options.THREAD_DAEMON, true)
                .getMap();
        XnioWorker worker = Xnio.getInstance().createWorker(options);
        return new PlatformConnection(
                worker, EtcdGatewayStore.start(addresses, keyValue, worker, new MetricRegistry()));
    }

    public KeyValueStore store() {
        return store;
    }

    @Override
    public void close() {
        store.close();
        worker.shutdownNow();
    }
}
