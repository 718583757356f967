package org.marjoramswitch.daemon.target;

import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetStatusNotice;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads one answer off its connection, hands it on and judges whether it was whole. An answer that may be a refusal
 * (503, 429) is held back until its end, as are the whole answers of model engines.
 */
final class ResponseReader {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int OK = 200;
    /** Reads in a row before the IO thread turns to its other connections. */
    private static final int READS_IN_A_ROW = 16;

    private final TargetConnector connector;
    private final ResponseDelivery delivery;
    private final StreamSourceChannel channel;
    private final int status;
    private final Map<String, String> headers;
    private final TargetProtocol protocol;
    private final @Nullable String echoedId;
    private final boolean crossed;
    private final boolean framed;
    private final boolean fromEngine;
    private final Manner manner;
    private boolean readWhole;
    private long answerBytes;

    private ResponseReader(
            ClientExchange exchange, AttemptSpec spec, TargetConnector connector, ResponseDelivery delivery) {
        ClientResponse response = exchange.getResponse();
        HeaderMap received = response.getResponseHeaders();
        this.connector = connector;
        this.delivery = delivery;
        this.channel = exchange.getResponseChannel();
        this.status = response.getResponseCode();
        this.headers = CallHeaders.answer(received);
        this.protocol = spec.protocol();
        this.echoedId = headers.get(protocol.idHeader());
        this.crossed = isCrossed(spec);
        this.framed = isFramed(spec.call(), status, received);
        this.manner = manner(spec);
        this.fromEngine = spec.isEngineCall();
    }

    static ResponseReader of(
            ClientExchange exchange, AttemptSpec spec, TargetConnector connector, ResponseDelivery delivery) {
        return new ResponseReader(exchange, spec, connector, delivery);
    }

    int status() {
        return status;
    }

    /** What the target says of itself. */
    TargetStatusNotice notice() {
        return protocol.notices().read(status, headers);
    }

    @Nullable
    String echoedId() {
        return echoedId;
    }

    /** Whether the answer bears another request's id; nothing of it may be delivered. */
    boolean isCrossed() {
        return crossed;
    }

    /** Whether this can be the rest of an answer that began on another connection. */
    boolean isContinuation() {
        return status == OK;
    }

    /** Whether the connection stands at the end of this answer, so that the next one can be told from it. */
    boolean isReusable() {
        return readWhole && framed;
    }

    /** Reads no more, whatever comes. */
    void suspend() {
        channel.suspendReads();
    }

    /** Reads what there is; waits for more by the channel's read listener. */
    Progress read() {
        delivery.head(status, headers);
        try (PooledByteBuffer pooled = connector.bufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int reads = 0; reads < READS_IN_A_ROW; reads++) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    return ended();
                }
                if (count == 0) {
                    channel.resumeReads();
                    return Progress.MORE;
                }
                if (!accept(buffer.flip())) {
                    return Progress.BROKEN;
                }
            }
            return Progress.AGAIN;
        } catch (IOException e) {
            return Progress.BROKEN;
        }
    }

    /** False where the answer grows too large. */
    private boolean accept(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        answerBytes += bytes.length;
        if (answerBytes > connector.options().maxAnswerBytes()) {
            return false;
        }
        switch (manner) {
            case STREAMED -> delivery.stream(bytes);
            case WHOLE, MAY_REFUSE -> delivery.hold(bytes);
            case PASSED -> delivery.pass(bytes);
        }
        return true;
    }

    private Progress ended() {
        readWhole = (framed || protocol.endsWithConnection()) && isStreamWhole();
        if (!readWhole) {
            return Progress.BROKEN;
        }
        if (manner == Manner.MAY_REFUSE
                && !delivery.hasBegun()
                && protocol.refusals().saysNotStarted(status, headers, delivery.heldBytes())) {
            return Progress.NOT_STARTED;
        }
        if (isStopping()) {
            return Progress.BROKEN;
        }
        delivery.end(manner == Manner.WHOLE);
        return Progress.WHOLE;
    }

    /**
     * Whether an engine's HTTP server answered in place of the engine, as one that shuts down does: 503 without a word.
     * Passed on, the caller would get an empty answer to a request that another engine could have served.
     */
    private boolean isStopping() {
        return fromEngine && manner == Manner.MAY_REFUSE && !delivery.hasBegun() && delivery.heldBytes().length == 0;
    }

    /** A stream that stops in the middle of an event is not whole, however its connection ended. */
    private boolean isStreamWhole() {
        if (manner != Manner.STREAMED) {
            return true;
        }
        return protocol.forwarding() ? delivery.heldBytes().length == 0 : delivery.hasEndMark();
    }

    /** An answer of another request, or one that names none where each must, as a late second answer. */
    private boolean isCrossed(AttemptSpec spec) {
        if (echoedId != null) {
            return !echoedId.equals(spec.requestId());
        }
        return protocol.idNeeded() && !protocol.refusals().saysNotStarted(status, headers, new byte[0]);
    }

    private Manner manner(AttemptSpec spec) {
        if (protocol.refusals().mayRefuse(status)) {
            return Manner.MAY_REFUSE;
        }
        boolean events = headers.getOrDefault("content-type", "").startsWith(EVENT_STREAM);
        if (protocol.forwarding()) {
            return events ? Manner.STREAMED : Manner.PASSED;
        }
        if (!spec.isEngineCall() || status != OK) {
            return Manner.PASSED;
        }
        return events ? Manner.STREAMED : Manner.WHOLE;
    }

    private static boolean isFramed(TargetCall call, int status, HeaderMap received) {
        return received.contains(Headers.CONTENT_LENGTH)
                || received.contains(Headers.TRANSFER_ENCODING)
                || call.method().equals("HEAD")
                || status == 204
                || status == 304;
    }

    /** How an answer goes out. */
    private enum Manner {
        /** Event by event. */
        STREAMED,
        /** At its end. */
        WHOLE,
        /** At its end, unless it is a refusal. */
        MAY_REFUSE,
        /** As it comes. */
        PASSED
    }

    /** What a read has come to. */
    enum Progress {
        MORE,
        /** There is more to read at once, but it is the other connections' turn. */
        AGAIN,
        WHOLE,
        NOT_STARTED,
        BROKEN
    }
}
