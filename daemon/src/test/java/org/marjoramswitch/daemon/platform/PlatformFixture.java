package org.marjoramswitch.daemon.platform;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.testkit.platform.KeyValueGateway;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Fake of the platform's key-value store, and clients connected to it over loopback. */
final class PlatformFixture implements AutoCloseable {
    private static final long WAIT_SECONDS = 20;
    private static final long POLL_MS = 2;

    final KeyValueGateway gateway = KeyValueGateway.start();
    final AtomicLong skippedMs = new AtomicLong();
    final MetricRegistry metrics = new MetricRegistry();
    private final XnioWorker worker;
    private final List<EtcdGatewayStore> stores = new ArrayList<>();

    private PlatformFixture() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 2)
                        .set(Options.WORKER_TASK_CORE_THREADS, 4)
                        .set(Options.WORKER_TASK_MAX_THREADS, 4)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
    }

    static PlatformFixture start() throws IOException {
        return new PlatformFixture();
    }

    static KeyValueOptions options() {
        return KeyValueOptions.of(7).withTimeouts(400, 150, 150).withBudget(10_000, 10_000);
    }

    EtcdGatewayStore store() {
        return store(options());
    }

    EtcdGatewayStore store(KeyValueOptions options, HostPort... before) {
        List<HostPort> addresses = new ArrayList<>(List.of(before));
        addresses.add(HostPort.of(gateway.host(), gateway.port()));
        EtcdGatewayStore store = EtcdGatewayStore.start(
                addresses, options, worker, metrics, () -> System.currentTimeMillis() + skippedMs.get());
        stores.add(store);
        return store;
    }

    static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    static <T> T answered(CompletableFuture<KeyValueResult<T>> future) throws Exception {
        KeyValueResult<T> result = await(future);
        if (result instanceof KeyValueResult.Answered<T> answered) {
            return answered.value();
        }
        throw new AssertionError("not answered: " + result);
    }

    static void until(BooleanSupplier condition) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new TimeoutException("the condition was not met in time");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    @Override
    public void close() {
        stores.forEach(EtcdGatewayStore::close);
        worker.shutdownNow();
        gateway.close();
    }
}
