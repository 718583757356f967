package org.marjoramswitch.testsuite.target;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetClient.Attempt;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.daemon.target.UndertowTargetClient;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Target client with one I/O thread, and the calls that the tests send. */
final class TargetFixture implements AutoCloseable {
    private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");
    private static final long TIMEOUT_MS = 20_000;

    final MetricRegistry registry = new MetricRegistry();
    final UndertowTargetClient client;
    private final XnioWorker worker;
    private final AtomicInteger lastId = new AtomicInteger();

    TargetFixture(TargetClientOptions options) throws IOException {
        OptionMap workerOptions = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .getMap();
        worker = Xnio.getInstance().createWorker(workerOptions);
        client = UndertowTargetClient.start(worker, options, registry);
    }

    /** The only I/O thread. */
    XnioIoThread ioThread() {
        return worker.getIoThread();
    }

    static TargetSettings target(int port) {
        return new TargetSettings(
                TargetId.of("target-1"), PoolId.of("pool"), "127.0.0.1", port, DataCentreId.of("dc"), 16, true);
    }

    static PoolSettings pool(TargetKind kind, long progressTimeoutMs) {
        PoolSettings defaults = kind == TargetKind.MODEL_ENGINE
                ? PoolSettings.modelEngines(PoolId.of("pool"))
                : PoolSettings.plainServices(PoolId.of("pool"));
        return new PoolSettings(
                defaults.id(),
                kind,
                defaults.cellTargets(),
                defaults.promptTokenCost(),
                defaults.outputTokenCost(),
                defaults.initialEstimateTokens(),
                defaults.repeatableByDefault(),
                defaults.waitTimeoutMs(),
                progressTimeoutMs,
                defaults.retryShare(),
                defaults.coldStart());
    }

    TargetCall chat(int tokens, boolean streaming) {
        return chat("request-" + lastId.incrementAndGet(), tokens, streaming);
    }

    static TargetCall chat(String requestId, int tokens, boolean streaming) {
        String body = "{\"model\":\"m\",\"stream\":" + streaming + ",\"x_output_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"request-id=" + requestId + "\"}]}";
        Map<String, String> headers = Map.of("X-Request-Id", requestId, "X-Customer", "thies");
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return TargetCall.of(TargetKind.MODEL_ENGINE, "POST", "/v1/chat/completions", headers, bytes, streaming);
    }

    TargetCall serviceCall() {
        Map<String, String> headers = Map.of("X-Request-Id", "call-" + lastId.incrementAndGet());
        return TargetCall.of(TargetKind.PLAIN_SERVICE, "POST", "/stop", headers, new byte[] {1}, false);
    }

    RecordedAttempt run(int port, long progressTimeoutMs, TargetCall call) {
        RecordedAttempt recorded = new RecordedAttempt();
        start(port, progressTimeoutMs, call, recorded);
        return recorded;
    }

    Attempt start(int port, long progressTimeoutMs, TargetCall call, RecordedAttempt recorded) {
        return client.start(target(port), pool(call.kind(), progressTimeoutMs), call, recorded);
    }

    long count(String metric) {
        return registry.counter(metric).getCount();
    }

    /** Connections that are open from the client's point of view. */
    int openConnections() {
        return (Integer) registry.getGauges().get("targets.connections.open").getValue();
    }

    /** Text of a response, streamed or not. */
    static String contentOf(String response) {
        StringBuilder content = new StringBuilder();
        Matcher matcher = CONTENT.matcher(response);
        while (matcher.find()) {
            content.append(matcher.group(1));
        }
        return content.toString();
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new IllegalStateException("condition not met in time");
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() {
        client.close();
        worker.shutdownNow();
    }
}
