package org.marjoramswitch.daemon.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

/** The prepared responses to callers that are rejected. Not thread-safe. */
final class PreparedRejections {
    /**
     * Longer than the wait after which a caller is rejected, so that an immediate retry does not find the same
     * overload, and short, because another instance can accept the request.
     */
    private static final long MIN_RETRY_AFTER_MS = 250;

    private static final long RETRY_STEP_MS = 25;
    /** The delays differ, so that callers that were rejected together do not return together. */
    private static final int STEPS = 11;

    private final List<Response> responses = new ArrayList<>();
    private int next;

    private PreparedRejections() {}

    static PreparedRejections create(CallDecoder decoder) {
        PreparedRejections result = new PreparedRejections();
        for (int step = 0; step < STEPS; step++) {
            result.responses.add(response(decoder, MIN_RETRY_AFTER_MS + step * RETRY_STEP_MS));
        }
        return result;
    }

    /** @param headOnly whether the request's method is HEAD */
    ByteBuffer next(boolean headOnly) {
        Response response = responses.get(next);
        next = (next + 1) % STEPS;
        return (headOnly ? response.head() : response.whole()).duplicate();
    }

    private static Response response(CallDecoder decoder, long retryAfterMs) {
        Failure failure = Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, retryAfterMs, "unread");
        byte[] body = Problem.body(failure, 0);
        String head = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + decoder.retryAfter(retryAfterMs)
                + "\r\nContent-Type: " + Problem.CONTENT_TYPE + "\r\nContent-Length: " + body.length
                + "\r\nConnection: close\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer whole = ByteBuffer.allocateDirect(headBytes.length + body.length);
        whole.put(headBytes).put(body).flip();
        return new Response(whole.duplicate().limit(headBytes.length), whole);
    }

    private record Response(ByteBuffer head, ByteBuffer whole) {}
}
