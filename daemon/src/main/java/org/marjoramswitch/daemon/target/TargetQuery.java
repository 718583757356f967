package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.exchange.TargetClient.AttemptListener;
import org.marjoramswitch.daemon.target.AttemptSpec.Purpose;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;
import org.xnio.XnioIoThread;

/** A query by the router itself to a target: a GET whose response is a small JSON object. */
final class TargetQuery implements AttemptListener {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Larger responses are truncated and therefore unreadable. */
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final Consumer<Response> listener;
    private final PendingBytes body = new PendingBytes();
    /** An evicted body is dropped when its next bytes arrive, or when the query ends. */
    private final HeldResponses.Holder held;

    private int status;
    private boolean truncated;

    private TargetQuery(TargetConnector connector, Consumer<Response> listener) {
        this.held = connector.heldResponses().holder(() -> {});
        this.listener = listener;
    }

    /** Uses a pooled connection if one is available; calls the listener once, on an I/O thread. */
    static void send(
            TargetConnector connector,
            TargetSettings target,
            String path,
            long timeoutMs,
            Consumer<Response> listener) {
        HttpAttempt.start(
                connector, spec(connector, target, "GET", path, timeoutMs), new TargetQuery(connector, listener));
    }

    /** Uses a new connection; calls the listener once, on the given thread. */
    static void sendFresh(
            TargetConnector connector,
            TargetSettings target,
            String path,
            long timeoutMs,
            XnioIoThread thread,
            Consumer<Response> listener) {
        HttpAttempt.startFresh(
                connector,
                spec(connector, target, "GET", path, timeoutMs),
                new TargetQuery(connector, listener),
                thread);
    }

    /** Sends an empty POST over a new connection, without retry; ignores the response. */
    static void post(
            TargetConnector connector, TargetSettings target, String path, long timeoutMs, XnioIoThread thread) {
        AttemptSpec spec = spec(connector, target, "POST", path, timeoutMs);
        HttpAttempt.startFresh(connector, spec, new TargetQuery(connector, response -> {}), thread);
    }

    private static AttemptSpec spec(
            TargetConnector connector, TargetSettings target, String method, String path, long timeoutMs) {
        TargetCall call = TargetCall.of(TargetKind.MODEL_ENGINE, method, path, Map.of(), new byte[0], false);
        return AttemptSpec.of(Purpose.QUERY, target, call, connector.nextId(), timeoutMs, connector.protocol());
    }

    @Override
    public void onHead(int responseStatus, Map<String, String> headers) {
        status = responseStatus;
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (truncated) {
            return;
        }
        body.add(bytes, 0, bytes.length);
        if (body.size() > MAX_RESPONSE_BYTES || !held.hold(body.allocatedBytes())) {
            truncated = true;
            body.clear();
            held.close();
        }
    }

    @Override
    public void onProgress(long outputTokens) {}

    @Override
    public void onEnd(TargetOutcome outcome, Usage usage) {
        held.close();
        boolean complete = outcome == TargetOutcome.COMPLETED;
        listener.accept(new Response(
                complete,
                complete && status == 200 && !truncated ? parse(body.toByteArray()) : MissingNode.getInstance()));
    }

    private static JsonNode parse(byte[] bytes) {
        try {
            return JSON.readTree(bytes);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /**
     * Result of a query.
     *
     * @param isComplete whether the target sent a complete response, with any status
     * @param json body of a response with status 200; a missing node if there is none or it is unreadable
     */
    record Response(boolean isComplete, JsonNode json) {}
}
