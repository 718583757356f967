package org.marjoramswitch.daemon.target;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.TargetStatusNotice;
import org.marjoramswitch.daemon.http.GrammarCheck;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads one response from its connection, delivers it and determines whether it was complete. A response that may be a
 * rejection (503, 429) is buffered to its end, as are the non-streaming responses of model engines.
 */
final class ResponseReader {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int OK = 200;
    /** Bounds consecutive reads, so that other connections of the I/O thread get their share. */
    private static final int MAX_CONSECUTIVE_READS = 16;

    private final TargetConnector connector;
    private final ResponseDelivery delivery;
    private final ClientConnection connection;
    private final StreamSourceChannel channel;
    private final GrammarCheck grammar;
    private final int status;
    private final Map<String, String> headers;
    private final TargetProtocol protocol;
    private final @Nullable String echoedId;
    private final boolean crossed;
    private final boolean framed;
    private final boolean fromEngine;
    private final DeliveryMode deliveryMode;
    private final HeldResponses.Holder held;
    private final BooleanSupplier requestSent;
    /** The memory of the head, which the HTTP client keeps until the exchange ends. */
    private final long headBytes;

    private boolean complete;
    private long receivedBytes;

    private ResponseReader(
            ClientExchange exchange,
            AttemptSpec spec,
            TargetConnector connector,
            ResponseDelivery delivery,
            HeldResponses.Holder held,
            BooleanSupplier requestSent) {
        ClientResponse response = exchange.getResponse();
        HeaderMap received = response.getResponseHeaders();
        this.connector = connector;
        this.delivery = delivery;
        this.held = held;
        this.requestSent = requestSent;
        this.connection = exchange.getConnection();
        this.headBytes = HeadConverter.heldBytes(received);
        this.channel = exchange.getResponseChannel();
        this.status = response.getResponseCode();
        this.headers = HeadConverter.response(received);
        this.protocol = spec.protocol();
        this.echoedId = headers.get(protocol.idHeader());
        this.crossed = isCrossed(spec);
        this.grammar = GrammarCheck.of(connection);
        this.framed = !grammar.endsWithConnection();
        this.deliveryMode = deliveryMode(spec);
        this.fromEngine = spec.isEngineCall();
    }

    /**
     * @param held counts the memory of the response until the attempt ends
     * @param requestSent whether the request has been written completely
     */
    static ResponseReader of(
            ClientExchange exchange,
            AttemptSpec spec,
            TargetConnector connector,
            ResponseDelivery delivery,
            HeldResponses.Holder held,
            BooleanSupplier requestSent) {
        return new ResponseReader(exchange, spec, connector, delivery, held, requestSent);
    }

    int status() {
        return status;
    }

    /** The status that the target reports about itself in the response head. */
    TargetStatusNotice notice() {
        return protocol.notices().read(status, headers);
    }

    @Nullable
    String echoedId() {
        return echoedId;
    }

    /** Whether the response carries another request's id; none of it may be delivered. */
    boolean isCrossed() {
        return crossed;
    }

    /** Whether the response reports a success, but lacks what marks it as the target's response to the request. */
    boolean isUnmarkedSuccess() {
        String marker = protocol.successHeader();
        return status / 100 == 2 && !marker.isEmpty() && !headers.containsKey(marker);
    }

    /** Whether the status is one of a final response; the client reads on by itself only after a 100. */
    boolean isFinal() {
        return status >= OK;
    }

    /** Whether the response ends with its connection. */
    boolean endsWithConnection() {
        return !framed && protocol.endsWithConnection();
    }

    /** Whether this can be the remainder of a response that began on another connection; a stream continues with a stream. */
    boolean isContinuation() {
        return status == OK && (!delivery.hasDelivered() || deliveryMode == DeliveryMode.STREAMED);
    }

    /** Whether the response was read to a framed end, so that the connection can carry another exchange. */
    boolean isReusable() {
        return complete && grammar.isReusable();
    }

    /** Stops reading from the connection. */
    void suspend() {
        channel.suspendReads();
    }

    /** Reads the available bytes without blocking; the channel's read listener is called when more arrive. */
    Progress read() {
        delivery.head(status, headers);
        if (!held.hold(headBytes + delivery.heldBytes())) {
            return Progress.BROKEN;
        }
        try (PooledByteBuffer pooled = connector.bufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int reads = 0; reads < MAX_CONSECUTIVE_READS; reads++) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    return ended();
                }
                if (count == 0) {
                    if (!FramingLimit.awaitsMore(connection)) {
                        return Progress.BROKEN;
                    }
                    channel.resumeReads();
                    return Progress.MORE;
                }
                if (!accept(buffer.flip())) {
                    return delivery.fault() == EventFault.NONE ? Progress.BROKEN : Progress.INVALID;
                }
            }
            return Progress.AGAIN;
        } catch (IOException e) {
            return Progress.BROKEN;
        }
    }

    /** Returns false if the response exceeds its maximum size or the memory for responses, or has an event with a fault. */
    private boolean accept(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        receivedBytes += bytes.length;
        FramingLimit.progressed(connection);
        if (receivedBytes > connector.options().maxResponseBytes()) {
            return false;
        }
        switch (deliveryMode) {
            case STREAMED -> {
                if (!delivery.acceptStream(bytes)) {
                    return false;
                }
            }
            case BUFFERED -> delivery.buffer(bytes);
            case MAY_REFUSE -> delivery.bufferRejection(bytes);
            case PASSED_THROUGH -> delivery.passThrough(bytes);
        }
        return held.hold(headBytes + delivery.heldBytes());
    }

    private Progress ended() {
        // A connection that ends while the request is being sent was not ended by a complete response.
        boolean ended = framed ? grammar.hasEnded() : protocol.endsWithConnection() && requestSent.getAsBoolean();
        complete = ended && isStreamComplete();
        if (!complete) {
            return Progress.BROKEN;
        }
        if (deliveryMode == DeliveryMode.MAY_REFUSE
                && !delivery.hasDelivered()
                && protocol.refusals().reportsNotStarted(status, headers, delivery.bufferedBytes())) {
            return Progress.NOT_STARTED;
        }
        if (isEngineShuttingDown()) {
            return Progress.BROKEN;
        }
        delivery.end(deliveryMode == DeliveryMode.BUFFERED);
        return Progress.WHOLE;
    }

    /**
     * Whether the engine's HTTP server responded instead of the engine: during shutdown it sends a 503 without a body.
     * Delivering it would give the caller an empty response to a request that another engine could have served.
     */
    private boolean isEngineShuttingDown() {
        return fromEngine
                && deliveryMode == DeliveryMode.MAY_REFUSE
                && !delivery.hasDelivered()
                && delivery.isBufferEmpty();
    }

    /**
     * A stream that stops within an event is incomplete, even if its connection was closed properly. So is one without
     * framing that stops before its first event, as it does when its target crashes.
     */
    private boolean isStreamComplete() {
        if (deliveryMode != DeliveryMode.STREAMED) {
            return true;
        }
        if (!protocol.forwarding()) {
            return delivery.hasEndMark();
        }
        return !delivery.isWithinEvent() && (framed || delivery.hasDelivered());
    }

    /** Whether the response carries another request's id, or none where the protocol requires one. */
    private boolean isCrossed(AttemptSpec spec) {
        if (echoedId != null) {
            return !echoedId.equals(spec.requestId());
        }
        return protocol.idRequired() && !protocol.refusals().reportsNotStarted(status, headers, new byte[0]);
    }

    private DeliveryMode deliveryMode(AttemptSpec spec) {
        if (protocol.refusals().mayRefuse(status)) {
            return DeliveryMode.MAY_REFUSE;
        }
        boolean events =
                headers.getOrDefault("content-type", "").regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
        if (protocol.forwarding()) {
            return events ? DeliveryMode.STREAMED : DeliveryMode.PASSED_THROUGH;
        }
        if (!spec.isEngineCall() || status != OK) {
            return DeliveryMode.PASSED_THROUGH;
        }
        return events ? DeliveryMode.STREAMED : DeliveryMode.BUFFERED;
    }

    /** How a response is delivered. */
    private enum DeliveryMode {
        /** In complete events. */
        STREAMED,
        /** Once it is complete. */
        BUFFERED,
        /** Once it is complete, unless it is a rejection. */
        MAY_REFUSE,
        /** As it arrives. */
        PASSED_THROUGH
    }

    /** The result of a read. */
    enum Progress {
        MORE,
        /** More bytes may be available; the read was interrupted in favor of other connections. */
        AGAIN,
        WHOLE,
        NOT_STARTED,
        BROKEN,
        /** The response has an event with a fault. */
        INVALID
    }
}
