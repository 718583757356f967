package org.marjoramswitch.daemon.platform;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Methods;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.XnioWorker;

/**
 * Key-value store over the JSON gateway of etcd v3, using Undertow's client.
 *
 * <p>Results, and each watch's events in order, are delivered on the worker's task threads, see {@link StoreClient}.
 */
public final class EtcdGatewayStore implements KeyValueStore, KeyValueBatch {
    private static final String RANGE = "/v3/kv/range";
    private static final String TXN = "/v3/kv/txn";
    private static final String GRANT = "/v3/lease/grant";
    private static final String KEEP_ALIVE = "/v3/lease/keepalive";
    private static final String REVOKE = "/v3/lease/revoke";
    private static final int NOT_FOUND = 404;

    private final XnioWorker worker;
    private final StoreClient client;

    private EtcdGatewayStore(XnioWorker worker, StoreClient client) {
        this.worker = worker;
        this.client = client;
    }

    /** Creates a store over these addresses; connects on the first call. */
    public static EtcdGatewayStore start(
            List<HostPort> addresses, KeyValueOptions options, XnioWorker worker, MetricRegistry metrics) {
        return new EtcdGatewayStore(
                worker,
                StoreClient.start(addresses, options, worker, metrics, (body, headers) -> GatewayCodec.revision(body)));
    }

    /** As above, with the given clock. */
    static EtcdGatewayStore start(
            List<HostPort> addresses,
            KeyValueOptions options,
            XnioWorker worker,
            MetricRegistry metrics,
            LongSupplier clock) {
        return new EtcdGatewayStore(
                worker,
                StoreClient.start(
                        addresses, options, worker, metrics, (body, headers) -> GatewayCodec.revision(body), clock));
    }

    @Override
    public CompletableFuture<KeyValueResult<@Nullable Entry>> get(String key) {
        return read(RANGE, GatewayCodec.keyRequest(key), GatewayCodec::firstEntry);
    }

    @Override
    public CompletableFuture<KeyValueResult<Range>> range(String prefix) {
        return read(RANGE, GatewayCodec.prefixRequest(prefix), GatewayCodec::range);
    }

    @Override
    public CompletableFuture<KeyValueResult<Boolean>> compareAndSwap(
            Map<String, Long> expectedModRevisions, Map<String, String> puts, List<String> deletes, long leaseId) {
        return write(
                TXN,
                GatewayCodec.compareAndSwapRequest(expectedModRevisions, puts, deletes, leaseId),
                body -> body.path("succeeded").asBoolean());
    }

    @Override
    public CompletableFuture<KeyValueResult<List<@Nullable Entry>>> createEach(
            Map<String, String> entries, long leaseId) {
        return write(TXN, GatewayCodec.createEachRequest(entries, leaseId), GatewayCodec::createEachResult);
    }

    @Override
    public CompletableFuture<KeyValueResult<Long>> grantLease(long ttlSeconds) {
        return write(
                GRANT,
                GatewayCodec.grantRequest(ttlSeconds),
                body -> body.path("ID").asLong());
    }

    @Override
    public CompletableFuture<KeyValueResult<Long>> renewLease(long leaseId) {
        return write(
                KEEP_ALIVE,
                GatewayCodec.leaseRequest(leaseId),
                body -> body.path("result").path("TTL").asLong());
    }

    /** The value is false if the lease no longer exists. */
    @Override
    public CompletableFuture<KeyValueResult<Boolean>> revokeLease(long leaseId) {
        return this.<Boolean>write(REVOKE, GatewayCodec.leaseRequest(leaseId), body -> true)
                .thenApply(result -> result.replaceRejection(NOT_FOUND, false));
    }

    @Override
    public AutoCloseable watch(String prefix, long afterRevision, Consumer<WatchEvent> listener) {
        GatewayRuntime runtime = client.runtime();
        GatewayWatch watch =
                GatewayWatch.of(runtime, client.caller(), prefix, afterRevision, SerialExecutor.over(worker), listener);
        runtime.ioThread().execute(watch::open);
        return () -> runtime.ioThread().execute(watch::close);
    }

    @Override
    public long calls() {
        return client.calls();
    }

    @Override
    public void close() {
        client.close();
    }

    private <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> read(
            String path, String body, Function<JsonNode, T> decode) {
        return client.read(Methods.POST_STRING, path, body, decode);
    }

    private <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> write(
            String path, String body, Function<JsonNode, T> decode) {
        return client.write(Methods.POST_STRING, path, body, decode);
    }
}
