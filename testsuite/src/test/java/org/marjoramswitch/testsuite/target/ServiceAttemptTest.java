package org.marjoramswitch.testsuite.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.testkit.service.PlainService;
import org.marjoramswitch.testkit.service.ServiceFault;

class ServiceAttemptTest {
    private static final long PATIENT_MS = 15_000;
    private static final long SHORT_MS = 300;

    private PlainService service;
    private TargetFixture fixture;

    @BeforeEach
    void start() throws Exception {
        service = PlainService.start(1, 2 * SHORT_MS);
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
        RecordedAttempt attempt = run(PATIENT_MS);
        assertEquals(TargetOutcome.COMPLETED, attempt.outcome());
        assertEquals("executed call-1", attempt.text());
        assertEquals(1, service.executions().get("call-1"));
    }

    @Test
    void breakAfterExecutingIsNoRefusal() throws Exception {
        // The service executes the call and dies before it answers, over a pooled connection. To the client this looks
        // like a connection that had been closed before; since the request had gone out, the outcome is broken and the
        // client sends nothing again: the call is executed once.
        run(PATIENT_MS).outcome();
        service.setFault(ServiceFault.BREAK_AFTER_EXECUTING);
        RecordedAttempt attempt = run(PATIENT_MS);
        assertEquals(TargetOutcome.BROKEN_BEFORE_ANSWER, attempt.outcome());
        assertEquals(1, service.executions().get("call-2"));
        assertEquals(0, service.duplicateExecutions());
    }

    @Test
    void hangEndsAtTheDeadline() throws Exception {
        // The service executes the call and never answers. A plain service cannot be asked what became of a call, so
        // the attempt ends at the first deadline, and the call has run once.
        service.setFault(ServiceFault.HANG);
        assertEquals(TargetOutcome.SILENT_BEFORE_ANSWER, run(SHORT_MS).outcome());
        assertEquals(1, service.executions().get("call-1"));
    }

    @Test
    void slowAnswerWithinTheDeadlineIsWhole() throws Exception {
        service.setFault(ServiceFault.SLOW);
        assertEquals(TargetOutcome.COMPLETED, run(PATIENT_MS).outcome());
    }

    @Test
    void refusalsHaveNotRun() throws Exception {
        // One refusal in words, one at connect: neither call was executed, and both may be said not to have run.
        service.setFault(ServiceFault.NOT_STARTED);
        TargetOutcome inWords = run(PATIENT_MS).outcome();
        service.server().refuseConnections();
        TargetFixture.await(() -> fixture.openConnections() == 0);
        TargetOutcome atConnect = run(PATIENT_MS).outcome();
        assertTrue(inWords.notRun() && atConnect.notRun());
        assertTrue(service.executions().isEmpty());
    }

    @Test
    void callIsNotSentOnceItsCallersTimeIsOver() throws Exception {
        // The caller has given up. Its request was started at the last moment, on a busy instance, and gets its
        // connection
        // after the deadline; the decisions' cancellation is not there yet. The service would work for nobody.
        long overNs = System.nanoTime() - 1;
        for (int i = 0; i < 2; i++) {
            RecordedAttempt late = fixture.run(
                    service.port(), PATIENT_MS, fixture.serviceCall().withTimeouts(overNs, PATIENT_MS));
            assertEquals(TargetOutcome.CANCELLED, late.outcome());
        }
        assertTrue(service.executions().isEmpty());
        assertEquals(TargetOutcome.COMPLETED, run(PATIENT_MS).outcome());
    }

    @Test
    void callDoesNotMeetAConnectionThatWentSilentUnused() throws Exception {
        // A pooled connection goes silent. A call that may not be repeated and met it would end as unknown though it
        // never ran, so a call to a service uses a pooled connection only a moment after its last use: here, never.
        try (TargetFixture cautious =
                new TargetFixture(TargetClientOptions.defaults().withIdleAgeMs(60_000, 0))) {
            cautious.run(service.port(), PATIENT_MS, cautious.serviceCall()).outcome();
            service.server().silenceOpenConnections();
            RecordedAttempt second = cautious.run(service.port(), PATIENT_MS, cautious.serviceCall());
            assertEquals(TargetOutcome.COMPLETED, second.outcome());
        }
    }
}
