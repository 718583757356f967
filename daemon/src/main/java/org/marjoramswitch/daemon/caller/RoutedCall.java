package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.util.Map;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.exchange.CallDecoder.CallMetadata;
import org.marjoramswitch.daemon.exchange.CallerWait;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.daemon.route.Route;
import org.marjoramswitch.daemon.route.RouteKind;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PlacementSpec;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.StreamSpec;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetKind;

/** A completely read request on a route. Creates its request specification and the call to the target. */
record RoutedCall(
        long requestId,
        CustomerId customer,
        RoutedSettings settings,
        Route route,
        PoolSettings pool,
        CallMetadata metadata) {
    /** Shared by all requests that need no API key, which therefore share one queue. */
    static final CustomerId NO_CUSTOMER = CustomerId.of("-");

    /** Part of a route's latency objective for the caller's connection setup and the network round trip. */
    private static final long CALLER_NETWORK_MS = 10;
    /**
     * Share of the callers' progress timeout after which a repeatable request is retried on another target. The remaining
     * share is for the other target.
     */
    private static final double SILENCE_SHARE = 0.6;

    /** @param elapsedMs time since the caller's first attempt */
    RequestSpec spec(long nowMs, long elapsedMs) {
        return new RequestSpec(
                        requestId,
                        customer,
                        pool.id(),
                        settings.priorities().getOrDefault(customer, route.priority()),
                        route.kind().isRepeatable(),
                        metadata.prompt().stream().mapToLong(PromptPart::tokens).sum(),
                        metadata.expectedOutputTokens(),
                        0,
                        nowMs + Math.min(callerTimeoutMs(), route.timeoutMs()),
                        placement(nowMs - elapsedMs + route.objectiveMs() - CALLER_NETWORK_MS))
                .withProgressTimeout(route.callerProgressTimeoutMs(), nowMs)
                .withRoute(route.name());
    }

    /** The wait of the caller of a request that was read now. */
    CallerWait callerWait(long nowNs) {
        return CallerWait.starting(nowNs, callerTimeoutMs(), route.callerProgressTimeoutMs());
    }

    /** @param headers the caller's headers without hop-by-hop headers */
    TargetCall toTarget(
            HttpServerExchange exchange,
            CallDecoder decoder,
            Map<String, String> headers,
            byte[] body,
            CallerWait callerWait) {
        return TargetCall.of(
                        pool.kind(),
                        exchange.getRequestMethod().toString(),
                        pathAndQuery(exchange),
                        decoder.forTarget(headers, customer.equals(NO_CUSTOMER) ? null : customer),
                        body,
                        route.kind().isStreaming())
                .withTimeouts(callerWait, silenceMs());
    }

    private PlacementSpec placement(long objectiveAtMs) {
        boolean resumable = route.kind() == RouteKind.RESUMABLE_STREAM;
        boolean isEngine = pool.kind() == TargetKind.MODEL_ENGINE;
        PlacementSpec placement = isEngine
                ? new PlacementSpec(metadata.prompt(), outputTokens(), objectiveAtMs, route.attempts(), resumable)
                : PlacementSpec.plain(objectiveAtMs, route.attempts());
        return resumable ? placement.withStream(stream()) : placement;
    }

    private StreamSpec stream() {
        long requestKey = StreamSpec.key(customer, metadata.requestId());
        return metadata.resumes()
                ? StreamSpec.resuming(requestKey, StreamSpec.key(customer, metadata.resumedRequestId()))
                : StreamSpec.beginning(requestKey);
    }

    /** The caller's estimate, which is correct at the median, or else the caller's limit. */
    private long outputTokens() {
        return metadata.expectedOutputTokens() > 0 ? metadata.expectedOutputTokens() : metadata.maxOutputTokens();
    }

    private long callerTimeoutMs() {
        return metadata.timeoutMs() > 0 ? metadata.timeoutMs() : route.timeoutMs();
    }

    /** Maximum time without progress of a target; the route's timeout if the request cannot be retried elsewhere. */
    private long silenceMs() {
        if (!route.kind().isRepeatable()) {
            return route.timeoutMs();
        }
        return Math.round(SILENCE_SHARE * route.progressTimeoutMs());
    }

    /** Path and query as the caller sent them. */
    private static String pathAndQuery(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        String path = ForwardHandler.pathOf(exchange.getRequestURI());
        return query.isEmpty() ? path : path + '?' + query;
    }
}
