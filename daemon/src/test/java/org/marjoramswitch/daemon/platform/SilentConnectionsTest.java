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
 * What callers see: refusals by old settings for seconds after connections to the service have gone silent. Order: all
 * open connections go silent; a reading takes one that rests, gets no answer, takes the next one that rests, and so on
 * until its time is over. Cause: the loss of one said nothing about the others. Proof: the same read is answered where
 * only one connection rests.
 */
@Timeout(60)
class SilentConnectionsTest {
    private static final int RESTING = 4;
    /** Long enough for a busy machine; three attempts do not fit into a call. */
    private static final long ATTEMPT_MS = 1_000;

    private static final long CALL_MS = 3 * ATTEMPT_MS;

    private final List<HttpServerExchange> held = new ArrayList<>();
    private final StandInServer server = StandInServer.start("service", this::handle);
    private XnioWorker worker;
    private StoreClient client;
    private int answersHeldBack = RESTING;

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

    /** Four attempts in vain do not fit into the time of a read, so an early one has to go over a new connection. */
    @Test
    void aReadIsAnsweredThoughAllRestingConnectionsWentSilent() throws Exception {
        List<CompletableFuture<KeyValueResult<String>>> first = new ArrayList<>();
        for (int i = 0; i < RESTING; i++) {
            first.add(read());
        }
        for (CompletableFuture<KeyValueResult<String>> answer : first) {
            assertInstanceOf(KeyValueResult.Answered.class, await(answer));
        }
        server.silenceOpenConnections();
        assertInstanceOf(KeyValueResult.Answered.class, await(read()));
    }

    private CompletableFuture<KeyValueResult<String>> read() {
        return client.read("GET", "/", "", JsonNode::toString);
    }

    /** Holds the first calls until all of them are there, so that each has a connection of its own. */
    private void handle(HttpServerExchange exchange) {
        if (answersHeldBack == 0) {
            exchange.getResponseSender().send("{}");
            return;
        }
        held.add(exchange);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (held.size() == RESTING) {
                answersHeldBack = 0;
                held.forEach(each -> each.getResponseSender().send("{}"));
                held.clear();
            }
        });
    }
}
