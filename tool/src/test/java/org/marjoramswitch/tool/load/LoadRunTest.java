package org.marjoramswitch.tool.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.testkit.engine.EngineFault;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.testkit.engine.ModelEngine;
import org.marjoramswitch.testkit.service.PlainService;
import org.marjoramswitch.testkit.service.ServiceFault;
import org.marjoramswitch.tool.http.CallerClient;
import org.marjoramswitch.tool.load.LoadReport.CustomerReport;
import org.marjoramswitch.tool.load.Scenario.CustomerLoad;
import org.marjoramswitch.tool.load.Scenario.ServiceLoad;

class LoadRunTest {
    private static final int REQUESTS = 24;
    private static final LogNormal SHORT = LogNormal.of(8, 0.3, 16);

    private static Scenario scenario(long answerTimeoutMs, int maxAttempts, double serviceShare) {
        ServiceLoad service = new ServiceLoad("acks", "/stop", serviceShare, 1);
        CustomerLoad customer = new CustomerLoad("quai", "key", "any", 0, 4, 0.5, 0.2, SHORT, SHORT, service);
        return new Scenario("test", 3, List.of(), 60, REQUESTS, answerTimeoutMs, maxAttempts, true, List.of(customer));
    }

    private static CustomerReport run(Scenario scenario, int port) throws Exception {
        try (CallerClient client = CallerClient.start(1)) {
            AddressSource address = AddressSource.fixed(List.of(HostPort.of("127.0.0.1", port)));
            ResponseCheck responseCheck = StandInResponses.of(EngineOptions.defaults());
            LoadReport report = LoadRun.of(scenario, address, client, responseCheck, new BaseLoadListener(), "run")
                    .run();
            CustomerReport customer = report.customers().get(0);
            long ends = customer.answered()
                    + customer.refusedNotRun()
                    + customer.unknown()
                    + customer.broken()
                    + customer.lost();
            assertEquals(REQUESTS, customer.requests());
            assertEquals(REQUESTS, ends);
            return customer;
        }
    }

    private static CustomerReport runOnEngine(Scenario scenario, EngineOptions options, Consumer<ModelEngine> setUp)
            throws Exception {
        try (ModelEngine engine = ModelEngine.start(options.stepMs(1))) {
            setUp.accept(engine);
            return run(scenario, engine.port());
        }
    }

    @Test
    void countsCompleteResponsesWithAndWithoutStreaming() throws Exception {
        CustomerReport report = runOnEngine(scenario(5_000, 1, 0), EngineOptions.defaults(), engine -> {});
        assertEquals(REQUESTS, report.answered(), report::toString);
        assertEquals(REQUESTS, report.total().count());
        assertTrue(report.betweenTokens().count() > 0);
        assertTrue(report.firstToken().p50Ms() <= report.total().p50Ms());
    }

    // The engine closes the connection after the third token. The caller has received a partial response, recognisable
    // by the missing end of the framing. Counting it as answered would hide every truncated response.
    @Test
    void countsAPartialResponseAsBroken() throws Exception {
        CustomerReport report = runOnEngine(
                scenario(5_000, 1, 0), EngineOptions.defaults(), engine -> engine.setFault(EngineFault.BREAK_OFF));
        assertEquals(REQUESTS, report.broken(), report::toString);
        assertEquals(0, report.total().count());
    }

    // The engine accepts each request and never sends a byte, so the caller cancels it at its timeout. The request is
    // lost, which is the worst outcome and must not be counted as a rejection.
    @Test
    void countsATimeoutAsLost() throws Exception {
        CustomerReport report =
                runOnEngine(scenario(200, 1, 0), EngineOptions.defaults(), engine -> engine.setFault(EngineFault.HANG));
        assertEquals(REQUESTS, report.lost(), report::toString);
    }

    // The engine's response does not match the request, as if the responses of two requests had been swapped. Status,
    // framing and end mark are all valid.
    @Test
    void countsAnotherRequestsResponseAsLost() throws Exception {
        CustomerReport report =
                runOnEngine(scenario(5_000, 1, 0), EngineOptions.defaults().seed(99), engine -> {});
        assertEquals(REQUESTS, report.lost(), report::toString);
        assertTrue(report.troubles().keySet().stream().allMatch(what -> what.startsWith("CROSSED")), report::toString);
    }

    // An intermediary truncates the response but frames it as complete: a 200 response whose body has no finish reason,
    // or a stream without its end mark. Only the content shows the truncation.
    @Test
    void countsATruncatedResponseFramedAsCompleteAsLost() throws Exception {
        Undertow server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setHandler(exchange -> exchange.getRequestReceiver().receiveFullString((received, body) -> {
                    boolean streaming = body.contains("\"stream\":true");
                    received.getResponseHeaders()
                            .put(Headers.CONTENT_TYPE, streaming ? "text/event-stream" : "application/json");
                    received.getResponseSender()
                            .send(
                                    streaming
                                            ? "data: {\"choices\":[{\"delta\":{\"content\":\" a\"}}]}\n\n"
                                            : "{\"choices\":[{\"message\":{\"content\":\" a\"}}]}");
                }))
                .build();
        server.start();
        try {
            int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
            CustomerReport report = run(scenario(5_000, 1, 0), port);
            assertEquals(REQUESTS, report.lost(), report::toString);
            assertTrue(
                    report.troubles().keySet().stream().allMatch(what -> what.startsWith("TRUNCATED")),
                    report::toString);
        } finally {
            server.stop();
        }
    }

    // The port that the caller connects to is closed, so no byte of a request is sent and "not run" is certain.
    @Test
    void countsAFailedConnectionAsNotRun() throws Exception {
        int freePort;
        try (ModelEngine closed = ModelEngine.start(EngineOptions.defaults())) {
            freePort = closed.port();
        }
        CustomerReport report = run(scenario(5_000, 2, 0), freePort);
        assertEquals(REQUESTS, report.refusedNotRun(), report::toString);
        assertEquals(REQUESTS, report.retries());
    }

    // The service executes each call and closes the connection instead of responding. The calls are not repeatable, so
    // a retry would execute them twice; the caller must stop with an unknown outcome.
    @Test
    void neverRetriesANonRepeatableCall() throws Exception {
        try (PlainService service = PlainService.start(1, 0)) {
            service.setFault(ServiceFault.BREAK_AFTER_EXECUTING);
            CustomerReport report = run(scenario(5_000, 3, 1), service.port());
            assertEquals(REQUESTS, report.broken(), report::toString);
            assertEquals(0, report.retries());
            assertEquals(REQUESTS, service.executions().size());
            assertEquals(0, service.duplicateExecutions());
        }
    }
}
