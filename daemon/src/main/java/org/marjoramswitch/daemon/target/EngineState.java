package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/**
 * State of a request as reported by the engine.
 *
 * @param tokens output tokens generated so far
 */
record EngineState(Phase phase, long tokens) {
    private static final String PATH = "/v1/requests/";
    private static final String CANCEL_PATH = "/v1/cancel/";
    private static final long TIMEOUT_MS = 1_000;

    /** Phase of the request in the engine. */
    enum Phase {
        QUEUED,
        RUNNING,
        ENDED,
        CANCELLED,
        /** The engine has no such request. */
        UNKNOWN,
        /** The engine responds but does not report a state. */
        NOT_TOLD,
        /** The engine does not respond on a new connection either. */
        UNREACHABLE
    }

    static EngineState of(Phase phase, long tokens) {
        return new EngineState(phase, tokens);
    }

    /** Whether the engine is processing the request or has queued it. */
    boolean isHeld() {
        return phase == Phase.QUEUED || phase == Phase.RUNNING;
    }

    /** Whether the engine can send the response, or its remainder, over another connection. */
    boolean isResumable() {
        return isHeld() || phase == Phase.ENDED;
    }

    /** Queries the state over a new connection, since the one that carries the request may have failed. */
    static void query(
            TargetConnector connector, AttemptSpec spec, XnioIoThread thread, Consumer<EngineState> listener) {
        String path = PATH + URLEncoder.encode(spec.requestId(), StandardCharsets.UTF_8);
        TargetQuery.sendFresh(
                connector, spec.target(), path, TIMEOUT_MS, thread, response -> listener.accept(parse(response)));
    }

    /** Cancels the request at the engine, which may never notice that the request's connection was closed. */
    static void cancel(TargetConnector connector, AttemptSpec spec, XnioIoThread thread) {
        String path = CANCEL_PATH + URLEncoder.encode(spec.requestId(), StandardCharsets.UTF_8);
        TargetQuery.post(connector, spec.target(), path, TIMEOUT_MS, thread);
    }

    private static EngineState parse(TargetQuery.Response response) {
        if (!response.isComplete()) {
            return of(Phase.UNREACHABLE, 0);
        }
        JsonNode json = response.json();
        long tokens = json.path("tokens").asLong();
        return switch (json.path("state").asText()) {
            case "queued" -> of(Phase.QUEUED, tokens);
            case "running" -> of(Phase.RUNNING, tokens);
            case "ended" -> of(Phase.ENDED, tokens);
            case "cancelled" -> of(Phase.CANCELLED, tokens);
            case "unknown" -> of(Phase.UNKNOWN, tokens);
            default -> of(Phase.NOT_TOLD, tokens);
        };
    }
}
