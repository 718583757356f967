package org.marjoramswitch.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.marjoramswitch.daemon.platform.PlatformFixture.await;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.testkit.http.StandInServer;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against rejections based on outdated settings for seconds after the store connections have gone silent. All
 * open connections go silent; a read uses an idle one, gets no response, uses the next idle one, and so on until its
 * deadline. It happens if the loss of one connection does not discard the other idle ones; with a single idle
 * connection the same read succeeds.
 */
@Timeout(60)
class SilentConnectionsTest {
    private static final int IDLE_CONNECTIONS = 4;
    /** Long enough for a busy machine; three attempts don't fit into a call. */
    private static final long ATTEMPT_MS = 1_000;

    private static final long CALL_MS = 3 * ATTEMPT_MS;

    private final List<HttpServerExchange> held = new ArrayList<>();
    private final StandInServer server = StandInServer.start("service", this::handle);
    private XnioWorker worker;
    private StoreClient client;
    private int heldResponses = IDLE_CONNECTIONS;

    @BeforeEach
    void start() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        client = StoreClient.start(
                List.of(HostPort.of("127.0.0.1", server.port())),
                PlatformFixture.options().withTimeouts(CALL_MS, ATTEMPT_MS, ATTEMPT_MS),
                worker,
                new MetricRegistry(),
                (body, headers) -> 0);
    }

    @AfterEach
    void stop() {
        client.close();
        worker.shutdownNow();
        server.close();
    }

    /** Four failed attempts exceed the timeout of a read, so an early attempt has to use a new connection. */
    @Test
    void readSucceedsAlthoughAllIdleConnectionsAreSilent() throws Exception {
        List<CompletableFuture<KeyValueResult<String>>> first = new ArrayList<>();
        for (int i = 0; i < IDLE_CONNECTIONS; i++) {
            first.add(read());
        }
        for (CompletableFuture<KeyValueResult<String>> response : first) {
            assertInstanceOf(KeyValueResult.Answered.class, await(response));
        }
        server.silenceOpenConnections();
        assertInstanceOf(KeyValueResult.Answered.class, await(read()));
    }

    private CompletableFuture<KeyValueResult<String>> read() {
        return client.read("GET", "/", "", JsonNode::toString);
    }

    /** Holds the first calls until all of them have arrived, so that each uses its own connection. */
    private void handle(HttpServerExchange exchange) {
        if (heldResponses == 0) {
            exchange.getResponseSender().send("{}");
            return;
        }
        held.add(exchange);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (held.size() == IDLE_CONNECTIONS) {
                heldResponses = 0;
                held.forEach(each -> each.getResponseSender().send("{}"));
                held.clear();
            }
        });
    }
}
