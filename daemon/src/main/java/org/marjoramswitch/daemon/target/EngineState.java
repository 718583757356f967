package org.marjoramswitch.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/**
 * What an engine makes of a request, by its own word.
 *
 * @param tokens output tokens generated so far
 */
record EngineState(Phase phase, long tokens) {
    private static final String PATH = "/v1/requests/";
    private static final String CANCEL_PATH = "/v1/cancel/";
    private static final long TIMEOUT_MS = 1_000;

    /** Where the request stands. */
    enum Phase {
        QUEUED,
        RUNNING,
        ENDED,
        CANCELLED,
        /** The engine knows no such request. */
        UNKNOWN,
        /** The engine answers, but does not say. */
        NOT_TOLD,
        /** The engine does not answer on a new connection either. */
        UNREACHABLE
    }

    static EngineState of(Phase phase, long tokens) {
        return new EngineState(phase, tokens);
    }

    /** Whether the engine works on the request, or will. */
    boolean isHeld() {
        return phase == Phase.QUEUED || phase == Phase.RUNNING;
    }

    /** Whether the engine can give the answer, or its rest, over another connection. */
    boolean isResumable() {
        return isHeld() || phase == Phase.ENDED;
    }

    /** Asks over a new connection, since the one that carries the request is the one in doubt. */
    static void ask(TargetConnector connector, AttemptSpec spec, XnioIoThread thread, Consumer<EngineState> listener) {
        String path = PATH + URLEncoder.encode(spec.requestId(), StandardCharsets.UTF_8);
        TargetQuery.askFresh(connector, spec.target(), path, TIMEOUT_MS, thread, answer -> listener.accept(in(answer)));
    }

    /** Tells the engine to give up a request whose connection may never tell it. */
    static void cancel(TargetConnector connector, AttemptSpec spec, XnioIoThread thread) {
        String path = CANCEL_PATH + URLEncoder.encode(spec.requestId(), StandardCharsets.UTF_8);
        TargetQuery.tell(connector, spec.target(), path, TIMEOUT_MS, thread);
    }

    private static EngineState in(TargetQuery.Answer answer) {
        if (!answer.isWhole()) {
            return of(Phase.UNREACHABLE, 0);
        }
        JsonNode json = answer.json();
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
