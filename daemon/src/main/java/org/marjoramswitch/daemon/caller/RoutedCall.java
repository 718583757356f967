package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.util.Map;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.exchange.CallDecoder.CallMetadata;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.route.Route;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetKind;

/** A call on a route that was read whole: what the decisions are told of it, and what goes to a target. */
record RoutedCall(
        long requestId, CustomerId customer, RoutedSettings settings, Route route, PoolSettings pool, CallMetadata metadata) {
    /** Requests of callers that need no key share one queue. */
    static final CustomerId NO_CUSTOMER = CustomerId.of("-");

    private static final long NS_PER_MS = 1_000_000;
    /** Of a route's objective, what passes between the caller and this instance: a connection, the way here and back. */
    private static final long CALLER_WAY_MS = 10;
    /**
     * Of the silence after which callers give a request up, what a target may take before a request that another may
     * serve as well is taken there. Callers are patient for two seconds, four objectives or eight pauses, whichever is
     * longest; what is left of it is for the other target.
     */
    private static final double SILENCE_SHARE = 0.6;

    private static final long CALLERS_PATIENCE_MS = 2_000;
    private static final int CALLERS_PATIENCE_OBJECTIVES = 4;
    private static final int CALLERS_PATIENCE_PAUSES = 8;

    /** @param elapsedMs since the caller asked for the first time */
    RequestSpec spec(long nowMs, long elapsedMs) {
        return new RequestSpec(
                requestId,
                customer,
                pool.id(),
                settings.priorities().getOrDefault(customer, route.priority()),
                route.kind().repeatable(),
                metadata.prompt().stream().mapToLong(PromptPart::tokens).sum(),
                metadata.expectedOutputTokens(),
                0,
                nowMs + Math.min(callerTimeoutMs(), route.timeoutMs()),
                placement(nowMs - elapsedMs + route.objectiveMs() - CALLER_WAY_MS));
    }

    /** @param headers the caller's, without those of its connection */
    TargetCall toTarget(
            HttpServerExchange exchange, CallDecoder decoder, Map<String, String> headers, byte[] body, long nowNs) {
        return TargetCall.of(
                        pool.kind(),
                        exchange.getRequestMethod().toString(),
                        pathAndQuery(exchange),
                        decoder.forTarget(headers, customer.equals(NO_CUSTOMER) ? null : customer),
                        body,
                        route.kind().streaming())
                .withTimeouts(nowNs + callerTimeoutMs() * NS_PER_MS, silenceMs());
    }

    private PlacementSpec placement(long objectiveAtMs) {
        if (pool.kind() != TargetKind.MODEL_ENGINE) {
            return PlacementSpec.plain(objectiveAtMs, route.attempts());
        }
        boolean resumable = route.kind().repeatable() && route.kind().streaming();
        return new PlacementSpec(metadata.prompt(), outputTokens(), objectiveAtMs, route.attempts(), resumable);
    }

    /** The caller's guess, right at the median; without one the most that it allows. */
    private long outputTokens() {
        return metadata.expectedOutputTokens() > 0 ? metadata.expectedOutputTokens() : metadata.maxOutputTokens();
    }

    private long callerTimeoutMs() {
        return metadata.timeoutMs() > 0 ? metadata.timeoutMs() : route.timeoutMs();
    }

    /** How long a target may be silent: no time of its own where no other target may take the request. */
    private long silenceMs() {
        if (!route.kind().repeatable()) {
            return route.timeoutMs();
        }
        long objectivesMs = CALLERS_PATIENCE_OBJECTIVES * route.objectiveMs();
        long pausesMs = CALLERS_PATIENCE_PAUSES * route.pauseMs();
        return Math.round(SILENCE_SHARE * Math.max(CALLERS_PATIENCE_MS, Math.max(objectivesMs, pausesMs)));
    }

    /** As the caller wrote it. */
    private static String pathAndQuery(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        String path = ForwardHandler.pathOf(exchange.getRequestURI());
        return query.isEmpty() ? path : path + '?' + query;
    }
}
