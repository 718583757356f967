package org.marjoramswitch.testsuite.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.exchange.CallerCheck;
import org.marjoramswitch.daemon.exchange.CallerWait;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.testkit.service.PlainService;
import org.marjoramswitch.testkit.service.ServiceFault;

class ServiceAttemptTest {
    private static final long LONG_TIMEOUT_MS = 15_000;
    private static final long SHORT_TIMEOUT_MS = 300;

    private PlainService service;
    private TargetFixture fixture;

    @BeforeEach
    void start() throws Exception {
        service = PlainService.start(1, 2 * SHORT_TIMEOUT_MS);
        fixture = new TargetFixture(TargetClientOptions.defaults());
    }

    @AfterEach
    void stop() {
        fixture.close();
        service.close();
    }

    private RecordedAttempt run(long progressTimeoutMs) {
        return fixture.run(service.port(), progressTimeoutMs, fixture.serviceCall());
    }

    @Test
    void callIsExecutedOnceAndAnswered() throws Exception {
        RecordedAttempt attempt = run(LONG_TIMEOUT_MS);
        assertEquals(TargetOutcome.COMPLETED, attempt.outcome());
        assertEquals("executed call-1", attempt.text());
        assertEquals(1, service.executions().get("call-1"));
    }

    @Test
    void crashAfterExecutingIsBroken() throws Exception {
        // The service executes a call sent over a pooled connection and crashes before it responds. To the client
        // this looks like a connection that was closed earlier; since the request was sent, the outcome is "broken"
        // and nothing is resent: the call is executed once.
        run(LONG_TIMEOUT_MS).outcome();
        service.setFault(ServiceFault.BREAK_AFTER_EXECUTING);
        RecordedAttempt attempt = run(LONG_TIMEOUT_MS);
        assertEquals(TargetOutcome.BROKEN_BEFORE_ANSWER, attempt.outcome());
        assertEquals(1, service.executions().get("call-2"));
        assertEquals(0, service.duplicateExecutions());
    }

    @Test
    void hangEndsAtTheDeadline() throws Exception {
        // The service executes the call and never responds. A plain service has no status query, so the attempt ends
        // at the first deadline, and the call has run once.
        service.setFault(ServiceFault.HANG);
        assertEquals(TargetOutcome.SILENT_BEFORE_ANSWER, run(SHORT_TIMEOUT_MS).outcome());
        assertEquals(1, service.executions().get("call-1"));
    }

    @Test
    void slowResponseWithinTheDeadlineIsComplete() throws Exception {
        service.setFault(ServiceFault.SLOW);
        assertEquals(TargetOutcome.COMPLETED, run(LONG_TIMEOUT_MS).outcome());
    }

    @Test
    void rejectedCallsHaveNotRun() throws Exception {
        // One call is rejected by a response, the other by a refused connect: both are reported as not run.
        service.setFault(ServiceFault.NOT_STARTED);
        TargetOutcome byResponse = run(LONG_TIMEOUT_MS).outcome();
        service.server().refuseConnections();
        TargetFixture.await(() -> fixture.openConnections() == 0);
        TargetOutcome atConnect = run(LONG_TIMEOUT_MS).outcome();
        assertTrue(byResponse.notRun() && atConnect.notRun());
        assertTrue(service.executions().isEmpty());
    }

    @Test
    void callIsNotSentAfterTheCallersDeadline() throws Exception {
        // The caller has timed out. Its request was started just before the deadline, on a busy instance, and gets its
        // connection after the deadline, before the cancellation arrives. The service would execute the call in vain.
        CallerWait expired = CallerWait.starting(System.nanoTime() - 10_000_000, 1, 0);
        for (int i = 0; i < 2; i++) {
            RecordedAttempt late = fixture.run(
                    service.port(), LONG_TIMEOUT_MS, fixture.serviceCall().withTimeouts(expired, LONG_TIMEOUT_MS));
            assertEquals(TargetOutcome.CANCELLED, late.outcome());
        }
        assertTrue(service.executions().isEmpty());
        assertEquals(TargetOutcome.COMPLETED, run(LONG_TIMEOUT_MS).outcome());
    }

    /** Guards against running a request for a caller that disconnected before the connection to the target was ready. */
    @Test
    void callIsNotSentAfterTheCallerHasDisconnected() throws Exception {
        for (int i = 0; i < 2; i++) {
            RecordedAttempt abandoned = new RecordedAttempt() {
                @Override
                public void checkCaller(CallerCheck.Result result) {
                    result.accept(true);
                }
            };
            fixture.start(service.port(), LONG_TIMEOUT_MS, fixture.serviceCall(), abandoned);
            assertEquals(TargetOutcome.CANCELLED, abandoned.outcome());
        }
        assertTrue(service.executions().isEmpty());
        assertEquals(TargetOutcome.COMPLETED, run(LONG_TIMEOUT_MS).outcome());
    }

    /** Guards against running a request whose caller gave up for lack of progress while the connection was opened. */
    @Test
    void callIsNotSentAfterTheCallersProgressTimeout() throws Exception {
        CallerWait over = CallerWait.starting(System.nanoTime() - 10_000_000, LONG_TIMEOUT_MS, 1);
        RecordedAttempt late = fixture.run(
                service.port(), LONG_TIMEOUT_MS, fixture.serviceCall().withTimeouts(over, LONG_TIMEOUT_MS));
        assertEquals(TargetOutcome.CANCELLED, late.outcome());
        assertTrue(service.executions().isEmpty());
    }

    /** Guards against sending a request before it is known whether its caller has disconnected, and against blaming the target. */
    @Test
    void callWaitsForTheCheckOfItsCaller() throws Exception {
        CompletableFuture<CallerCheck.Result> checked = new CompletableFuture<>();
        RecordedAttempt attempt = new RecordedAttempt() {
            @Override
            public void checkCaller(CallerCheck.Result result) {
                checked.complete(result);
            }
        };
        fixture.start(service.port(), SHORT_TIMEOUT_MS, fixture.serviceCall(), attempt);
        CallerCheck.Result result = checked.get(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        Thread.sleep(3 * SHORT_TIMEOUT_MS);
        assertTrue(service.executions().isEmpty());
        result.accept(false);
        assertEquals(TargetOutcome.COMPLETED, attempt.outcome());
        assertEquals(1, service.executions().size());
    }

    /** Guards against blaming a target for the time that the check of the caller took, and so against a second run. */
    @Test
    void timeOfTheCallersCheckIsNotTheTargetsSilence() throws Exception {
        service.setFault(ServiceFault.SLOW);
        CompletableFuture<CallerCheck.Result> checked = new CompletableFuture<>();
        RecordedAttempt attempt = new RecordedAttempt() {
            @Override
            public void checkCaller(CallerCheck.Result result) {
                checked.complete(result);
            }
        };
        TargetCall withoutBody = TargetCall.of(
                TargetKind.PLAIN_SERVICE, "GET", "/stop", Map.of("X-Request-Id", "call-1"), new byte[0], false);
        fixture.start(service.port(), 3 * SHORT_TIMEOUT_MS, withoutBody, attempt);
        CallerCheck.Result result = checked.get(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        Thread.sleep(2 * SHORT_TIMEOUT_MS);
        result.accept(false);
        assertEquals(TargetOutcome.COMPLETED, attempt.outcome());
    }

    /** Guards against a cold target that crashes because a lagging instance sends it the requests of seconds together. */
    @Test
    void callIsNotSentAfterTheTimeWithinWhichItMayStart() throws Exception {
        for (int i = 0; i < 2; i++) {
            RecordedAttempt late = fixture.run(
                    service.port(), LONG_TIMEOUT_MS, fixture.serviceCall().startingBy(System.nanoTime() - 1));
            assertEquals(TargetOutcome.NOT_SENT, late.outcome());
        }
        assertTrue(service.executions().isEmpty());
    }

    @Test
    void callDoesNotUseASilentIdleConnection() throws Exception {
        // A pooled connection goes silent. A non-repeatable call on it would end with an unknown outcome though it
        // never ran, so service calls reuse a connection only for a short time after its last use: in this test,
        // never.
        try (TargetFixture nonReusing =
                new TargetFixture(TargetClientOptions.defaults().withIdleAgeMs(60_000, 0))) {
            nonReusing
                    .run(service.port(), LONG_TIMEOUT_MS, nonReusing.serviceCall())
                    .outcome();
            service.server().silenceOpenConnections();
            RecordedAttempt second = nonReusing.run(service.port(), LONG_TIMEOUT_MS, nonReusing.serviceCall());
            assertEquals(TargetOutcome.COMPLETED, second.outcome());
        }
    }
}
