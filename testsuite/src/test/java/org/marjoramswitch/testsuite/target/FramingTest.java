package org.marjoramswitch.testsuite.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Answers that a healthy target would not give. */
class FramingTest {
    private static final long PATIENT_MS = 15_000;
    private static final String MINE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";
    private static final String OTHER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";

    private TargetFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new TargetFixture(TargetClientOptions.defaults().withMaxResponseBytes(1_000));
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private TargetOutcome outcomeOf(TargetCall call, String answer) throws Exception {
        try (RawTarget target = RawTarget.start(answer)) {
            return fixture.run(target.port(), PATIENT_MS, call).outcome();
        }
    }

    @Test
    void streamWithoutItsEndMarkIsBroken() throws Exception {
        // An engine's process is told to stop and closes its stream in good order, but in mid-answer. The chunks end as
        // HTTP wants; only the missing end mark tells that the answer is not whole.
        String chunk = "data: {\"choices\":[]}\n\n";
        String answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n0\r\n\r\n";
        assertEquals(TargetOutcome.BROKEN_IN_ANSWER, outcomeOf(fixture.chat(1, true), answer));
    }

    @Test
    void cutChunksAreBroken() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        assertEquals(TargetOutcome.BROKEN_IN_ANSWER, outcomeOf(fixture.serviceCall(), answer));
    }

    @Test
    void answerThatEndsWithItsConnectionIsBroken() throws Exception {
        // The answer has neither length nor chunks. Whether it was all of it or the service died in the middle cannot
        // be told, so it does not pass as whole.
        assertEquals(
                TargetOutcome.BROKEN_IN_ANSWER, outcomeOf(fixture.serviceCall(), "HTTP/1.1 200 OK\r\n\r\nperhaps all"));
    }

    @Test
    void answerBeyondTheLimitIsCut() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + "x".repeat(2_000);
        assertEquals(TargetOutcome.BROKEN_BEFORE_ANSWER, outcomeOf(fixture.serviceCall(), answer));
    }

    @Test
    void bare503IsAnAnswer() throws Exception {
        // The status alone does not say that the call was not started, so it must not lead to "not run".
        String answer = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
        assertEquals(TargetOutcome.COMPLETED, outcomeOf(fixture.serviceCall(), answer));
    }

    @Test
    void problemBodyThatSaysNotRunIsARefusal() throws Exception {
        String answer = "HTTP/1.1 429 Slow Down\r\nContent-Length: 17\r\n\r\n{\"run\":\"not-run\"}";
        assertEquals(TargetOutcome.REFUSED, outcomeOf(fixture.serviceCall(), answer));
    }

    @Test
    void surplusAnswerIsNeverTheNextOnes() throws Exception {
        // The target sends two answers to one call; the second belongs to nobody and bears no id. It must not be read
        // as the answer to the next call: the connection is closed for it, and the next call goes over another.
        try (RawTarget target = RawTarget.start(MINE + OTHER, MINE)) {
            RecordedAttempt first = fixture.run(target.port(), PATIENT_MS, fixture.serviceCall());
            assertEquals(TargetOutcome.COMPLETED, first.outcome());
            RecordedAttempt second = fixture.run(target.port(), PATIENT_MS, fixture.serviceCall());
            assertEquals(TargetOutcome.COMPLETED, second.outcome());
            assertEquals("mine", second.text());
            assertEquals(2, target.connections());
        }
    }

    @Test
    void connectionThatTheTargetWillCloseIsNotPooled() throws Exception {
        // The target says that it closes the connection after its answer. A call sent on it would be lost, and the
        // client could not say that it did not run.
        String last = MINE.replace("Content-Length", "Connection: close\r\nContent-Length");
        try (RawTarget target = RawTarget.start(last, MINE)) {
            fixture.run(target.port(), PATIENT_MS, fixture.serviceCall()).outcome();
            RecordedAttempt second = fixture.run(target.port(), PATIENT_MS, fixture.serviceCall());
            assertEquals(TargetOutcome.COMPLETED, second.outcome());
            assertEquals(2, target.connections());
        }
    }
}
