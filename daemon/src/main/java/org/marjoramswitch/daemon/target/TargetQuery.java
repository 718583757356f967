package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.ByteArrayOutputStream;
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

/** A question of the router's own to a target: a GET answered by a small JSON object. */
final class TargetQuery implements AttemptListener {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** A larger answer is cut off, and so unreadable. */
    private static final int MAX_ANSWER_BYTES = 1 << 20;

    private final Consumer<Answer> listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    private TargetQuery(Consumer<Answer> listener) {
        this.listener = listener;
    }

    /** Asks over a pooled connection where there is one; the listener is called once, on an IO thread. */
    static void ask(
            TargetConnector connector, TargetSettings target, String path, long timeoutMs, Consumer<Answer> listener) {
        HttpAttempt.start(connector, spec(connector, target, "GET", path, timeoutMs), new TargetQuery(listener));
    }

    /** Asks over a new connection; the listener is called once, on the thread. */
    static void askFresh(
            TargetConnector connector,
            TargetSettings target,
            String path,
            long timeoutMs,
            XnioIoThread thread,
            Consumer<Answer> listener) {
        HttpAttempt.startFresh(
                connector, spec(connector, target, "GET", path, timeoutMs), new TargetQuery(listener), thread);
    }

    /** Tells the target something by an empty POST over a new connection, once; the answer means nothing. */
    static void tell(
            TargetConnector connector, TargetSettings target, String path, long timeoutMs, XnioIoThread thread) {
        AttemptSpec spec = spec(connector, target, "POST", path, timeoutMs);
        HttpAttempt.startFresh(connector, spec, new TargetQuery(answer -> {}), thread);
    }

    private static AttemptSpec spec(
            TargetConnector connector, TargetSettings target, String method, String path, long timeoutMs) {
        TargetCall call = TargetCall.of(TargetKind.MODEL_ENGINE, method, path, Map.of(), new byte[0], false);
        return AttemptSpec.of(Purpose.QUESTION, target, call, connector.nextId(), timeoutMs, connector.protocol());
    }

    @Override
    public void onHead(int answerStatus, Map<String, String> headers) {
        status = answerStatus;
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (body.size() + bytes.length <= MAX_ANSWER_BYTES) {
            body.writeBytes(bytes);
        }
    }

    @Override
    public void onProgress(long outputTokens) {}

    @Override
    public void onEnd(TargetOutcome outcome, Usage usage) {
        boolean whole = outcome == TargetOutcome.COMPLETED;
        listener.accept(
                new Answer(whole, whole && status == 200 ? parse(body.toByteArray()) : MissingNode.getInstance()));
    }

    private static JsonNode parse(byte[] bytes) {
        try {
            return JSON.readTree(bytes);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /**
     * How a question ended.
     *
     * @param isWhole whether the target answered at all, with whatever status
     * @param json what it said; a missing node where it said nothing that can be read
     */
    record Answer(boolean isWhole, JsonNode json) {}
}
