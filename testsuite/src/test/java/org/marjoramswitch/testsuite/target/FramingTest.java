package org.marjoramswitch.testsuite.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.target.TargetClientOptions;
import org.marjoramswitch.kernel.model.TargetOutcome;

/** Responses with framing that a healthy target does not send. */
class FramingTest {
    private static final long LONG_TIMEOUT_MS = 15_000;
    private static final String OWN_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";
    private static final String SURPLUS_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";

    private TargetFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new TargetFixture(TargetClientOptions.defaults().withMaxResponseBytes(1_000));
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private TargetOutcome outcomeOf(TargetCall call, String response) throws Exception {
        try (RawTarget target = RawTarget.start(response)) {
            return fixture.run(target.port(), LONG_TIMEOUT_MS, call).outcome();
        }
    }

    @Test
    void streamWithoutEndMarkIsBroken() throws Exception {
        // An engine shuts down and closes its stream properly, but in the middle of a response. The chunked encoding is
        // complete; only the missing end mark shows that the response is truncated.
        String chunk = "data: {\"choices\":[]}\n\n";
        String response = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n0\r\n\r\n";
        assertEquals(TargetOutcome.BROKEN_IN_ANSWER, outcomeOf(fixture.chat(1, true), response));
    }

    @Test
    void truncatedChunksAreBroken() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        assertEquals(TargetOutcome.BROKEN_IN_ANSWER, outcomeOf(fixture.serviceCall(), response));
    }

    @Test
    void responseDelimitedByConnectionCloseIsBroken() throws Exception {
        // The response has neither a length nor chunks. A complete response cannot be distinguished from one that a
        // crash truncated, so it does not count as complete.
        assertEquals(
                TargetOutcome.BROKEN_IN_ANSWER, outcomeOf(fixture.serviceCall(), "HTTP/1.1 200 OK\r\n\r\nperhaps all"));
    }

    @Test
    void responseOverTheLimitIsBroken() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + "x".repeat(2_000);
        assertEquals(TargetOutcome.BROKEN_BEFORE_ANSWER, outcomeOf(fixture.serviceCall(), response));
    }

    @Test
    void plain503IsACompletedResponse() throws Exception {
        // The status alone does not prove that the call was not started, so the outcome must not be "not run".
        String response = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
        assertEquals(TargetOutcome.COMPLETED, outcomeOf(fixture.serviceCall(), response));
    }

    @Test
    void problemBodyWithNotRunIsRefused() throws Exception {
        String response = "HTTP/1.1 429 Slow Down\r\nContent-Length: 17\r\n\r\n{\"run\":\"not-run\"}";
        assertEquals(TargetOutcome.REFUSED, outcomeOf(fixture.serviceCall(), response));
    }

    @Test
    void surplusResponseIsNotDeliveredToTheNextCall() throws Exception {
        // The target sends two responses to one call; the second one carries no id and matches no call. It must not
        // be read as the response to the next call: the connection is closed, and the next call uses another one.
        try (RawTarget target = RawTarget.start(OWN_RESPONSE + SURPLUS_RESPONSE, OWN_RESPONSE)) {
            RecordedAttempt first = fixture.run(target.port(), LONG_TIMEOUT_MS, fixture.serviceCall());
            assertEquals(TargetOutcome.COMPLETED, first.outcome());
            RecordedAttempt second = fixture.run(target.port(), LONG_TIMEOUT_MS, fixture.serviceCall());
            assertEquals(TargetOutcome.COMPLETED, second.outcome());
            assertEquals("mine", second.text());
            assertEquals(2, target.connections());
        }
    }

    @Test
    void connectionThatTheTargetClosesIsNotPooled() throws Exception {
        // The target announces that it closes the connection after its response. A call sent on it would be lost, and
        // the client could not report that it did not run.
        String last = OWN_RESPONSE.replace("Content-Length", "Connection: close\r\nContent-Length");
        try (RawTarget target = RawTarget.start(last, OWN_RESPONSE)) {
            fixture.run(target.port(), LONG_TIMEOUT_MS, fixture.serviceCall()).outcome();
            RecordedAttempt second = fixture.run(target.port(), LONG_TIMEOUT_MS, fixture.serviceCall());
            assertEquals(TargetOutcome.COMPLETED, second.outcome());
            assertEquals(2, target.connections());
        }
    }
}
