package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.exchange.CallDecoder.CallMetadata;
import org.marjoramswitch.daemon.exchange.CallerWait;
import org.marjoramswitch.daemon.exchange.RequestSubmitter;
import org.marjoramswitch.daemon.route.CallerLimits;
import org.marjoramswitch.daemon.route.Route;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.kernel.admission.AdmissionRequest;
import org.marjoramswitch.kernel.admission.AdmissionResult;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.settings.PoolSettings;

/**
 * Handles requests on the operators' routes. Forwards the request and the target's response unchanged, apart from the headers
 * that identify the customer and the target.
 *
 * <p>A request uses the version of the settings that was current at its start: its route, pool and timeouts do not change.
 */
final class ForwardHandler implements HttpHandler {
    private static final long NOT_READY_RETRY_AFTER_MS = 1_000;
    private static final long FULL_RETRY_AFTER_MS = 1_000;
    /** Short, because another instance can accept the request immediately. */
    private static final long LAGGING_RETRY_AFTER_MS = 100;
    /** Few different delays, so that {@link CheapRejections} builds few responses. */
    private static final long RETRY_UNIT_MS = 25;

    private final CallerOptions options;
    private final CallDecoder decoder;
    private final RequestSubmitter submitter;
    private final Supplier<RoutedSettings> settings;
    private final ApiKeys apiKeys;
    private final ConnectionReusePolicy connections;
    private final BooleanSupplier draining;
    private final BooleanSupplier lagging;
    private final @Nullable CheapRejections rejections;
    private final @Nullable Admission admission;
    private final MemoryBudget budget;
    private final Map<String, CallerTimeoutEstimate> timeoutEstimates = new ConcurrentHashMap<>();
    private final LongSupplier clockMs;
    private final CallerMetrics metrics;

    /** Decides about a request before its body is read. */
    interface Admission {
        AdmissionResult admit(AdmissionRequest request);
    }

    /**
     * @param rejections null if a lagging instance rejects requests as any other
     * @param admission null if every request is admitted unless the instance lags
     */
    ForwardHandler(
            CallerOptions options,
            CallDecoder decoder,
            RequestSubmitter submitter,
            Supplier<RoutedSettings> settings,
            BooleanSupplier draining,
            BooleanSupplier lagging,
            @Nullable CheapRejections rejections,
            @Nullable Admission admission,
            MemoryBudget budget,
            LongSupplier clockMs,
            CallerMetrics metrics) {
        this.options = options;
        this.decoder = decoder;
        this.submitter = submitter;
        this.settings = settings;
        this.apiKeys = ApiKeys.create();
        this.connections = ConnectionReusePolicy.within(options.maxConnections());
        this.draining = draining;
        this.lagging = lagging;
        this.rejections = rejections;
        this.admission = admission;
        this.budget = budget;
        this.clockMs = clockMs;
        this.metrics = metrics;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerExchange caller = CallerExchange.begin(exchange, metrics, clockMs.getAsLong());
        if (lagging.getAsBoolean()) {
            // Checked first, because a lagging instance must not spend time on further checks.
            rejectCheaply(caller, Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, LAGGING_RETRY_AFTER_MS, "behind"));
            return;
        }
        if (admission == null) {
            closeIfLast(exchange);
        }
        RoutedSettings current = settings.get();
        Route route = current.routes()
                .find(exchange.getRequestHeaders().getFirst(Headers.HOST), pathOf(exchange.getRequestURI()));
        Failure refusal = admit(caller, current, route);
        if (refusal != null) {
            if (admission != null) {
                closeIfLast(exchange);
            }
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> refuse(caller, refusal));
            return;
        }
        Route found = Objects.requireNonNull(route);
        caller.setRoute(found);
        if (admission == null) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> readBody(caller, current, found, null));
            return;
        }
        CallHead decoded = head(caller);
        CallHead head = decoded.withElapsedMs(elapsedMs(found, decoded.metadata()));
        AdmissionResult result =
                admission.admit(AdmissionEstimate.of(Objects.requireNonNull(caller.customer()), current, found, head));
        if (result instanceof AdmissionResult.Rejected rejected) {
            long retryAfterMs = (rejected.retryAfterMs() + RETRY_UNIT_MS - 1) / RETRY_UNIT_MS * RETRY_UNIT_MS;
            Failure rejection = Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, retryAfterMs, "admission");
            rejectCheaply(caller, rejection);
            return;
        }
        closeIfLast(exchange);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> readBody(caller, current, found, head));
    }

    /** Closes the connection after the response where the caller is to choose an instance again for its next request. */
    private void closeIfLast(HttpServerExchange exchange) {
        if (draining.getAsBoolean() || connections.isLast(exchange.getConnection())) {
            exchange.setPersistent(false);
        }
    }

    private CallHead head(CallerExchange caller) {
        Map<String, String> headers = endToEnd(caller.http().getRequestHeaders());
        CallMetadata metadata = decoder.read(headers);
        CallerConnection.of(caller.http()).setCallerRequestId(metadata.requestId());
        return CallHead.of(headers, metadata);
    }

    private @Nullable Failure admit(CallerExchange caller, RoutedSettings current, @Nullable Route route) {
        HttpServerExchange exchange = caller.http();
        if (current.version() == 0) {
            return Failure.notRun(ErrorType.NOT_READY, NOT_READY_RETRY_AFTER_MS, "");
        }
        String framing = framingFault(exchange.getRequestHeaders());
        if (framing != null) {
            return Failure.notRun(ErrorType.MALFORMED_REQUEST, 0, framing);
        }
        int maxHeadBytes = limits(exchange, current).maxHeadBytes();
        if (CallerConnection.of(exchange).isHeadLarger(exchange, maxHeadBytes)) {
            return Failure.notRun(ErrorType.HEAD_TOO_LARGE, 0, Integer.toString(maxHeadBytes));
        }
        if (route == null) {
            return Failure.notRun(ErrorType.NO_ROUTE, 0, noRouteDetail(exchange, current));
        }
        if (!exchange.isHttp11()) {
            // An HTTP/1.0 response ends with its connection, so a partial one is indistinguishable from a complete one.
            return Failure.notRun(ErrorType.MALFORMED_REQUEST, 0, "HTTP/1.1 is needed");
        }
        if (route.open() || !current.keyRequired()) {
            caller.setCustomer(RoutedCall.NO_CUSTOMER);
        } else {
            CustomerId customer = apiKeys.customer(
                    current.version(),
                    current.customers(),
                    exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
            if (customer == null) {
                return Failure.notRun(ErrorType.UNKNOWN_API_KEY, 0, "");
            }
            caller.setCustomer(customer);
        }
        return metrics.openRequests() > options.maxRequests()
                ? Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, FULL_RETRY_AFTER_MS, "")
                : null;
    }

    /**
     * Rejects a request of an overloaded instance, where this instance's processor is small with {@link
     * CheapRejections}. Must be called on the I/O thread before the exchange is dispatched and its body is read.
     */
    private void rejectCheaply(CallerExchange caller, Failure failure) {
        HttpServerExchange exchange = caller.http();
        if (rejections == null || !exchange.isHttp11() || framingFault(exchange.getRequestHeaders()) != null) {
            exchange.setPersistent(false);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> refuse(caller, failure));
            return;
        }
        boolean last = connections.isLastRejected(exchange.getConnection());
        rejections.reject(caller, failure, last || draining.getAsBoolean());
    }

    /** The limits of this request, which are more generous than the newest ones for a while after they were lowered. */
    private static CallerLimits limits(HttpServerExchange exchange, RoutedSettings current) {
        return Objects.requireNonNullElse(CallerConnection.of(exchange).limits(), current.limits());
    }

    private static String noRouteDetail(HttpServerExchange exchange, RoutedSettings current) {
        String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
        return host + pathOf(exchange.getRequestURI()) + " by version " + current.version() + " with "
                + current.routes().size() + " routes";
    }

    /** Two body lengths allow request smuggling: two parsers may disagree on where the body ends. */
    private static @Nullable String framingFault(HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        boolean chunked = headers.contains(Headers.TRANSFER_ENCODING);
        if (lengths != null && (chunked || lengths.size() > 1)) {
            return "the length of the body is told more than once";
        }
        return null;
    }

    /** @param head null if it is read after the body */
    private void readBody(CallerExchange caller, RoutedSettings current, Route route, @Nullable CallHead head) {
        MemoryAccount account = budget.account(Objects.requireNonNull(caller.customer()));
        BodyReader.read(
                caller,
                limits(caller.http(), current).maxBodyBytes(),
                options.times().bodyTimeoutMs(),
                caller.setMemory(RequestMemory.of(account, clockMs.getAsLong(), caller.http())),
                new BodyReader.Listener() {
                    @Override
                    public void onBody(byte[] body) {
                        accept(caller, current, route, head == null ? head(caller) : head, body);
                    }

                    @Override
                    public void onRefused(Failure failure) {
                        refuse(caller, failure);
                    }
                });
    }

    private void accept(CallerExchange caller, RoutedSettings current, Route route, CallHead head, byte[] body) {
        CallMetadata metadata = head.metadata();
        long requestId = submitter.nextRequestId();
        PoolId poolId = route.pool(metadata.routingId().hashCode());
        PoolSettings pool = current.pools().get(poolId);
        caller.setPool(poolId);
        caller.setRequestId(requestId);
        caller.setCallerRequestId(metadata.requestId());
        if (CallerWatch.hasDisconnected(caller.http())) {
            caller.memory().releaseAll();
            refuse(caller, Failure.notRun(ErrorType.CALLER_GONE, 0, ""));
            return;
        }
        if (pool == null) {
            caller.memory().releaseAll();
            refuse(caller, Failure.notRun(ErrorType.NO_TARGET_IN_TIME, NOT_READY_RETRY_AFTER_MS, poolId.name()));
            return;
        }
        RequestMemory memory = caller.memory();
        ResponseBuffer buffer = ResponseBuffer.create(
                new ResponseBuffer.Limits(options.maxUnreadBytes(), 0),
                false,
                memory.account(),
                (end, bytes) -> memory.end(clockMs.getAsLong()));
        ResponseWriter.Times times = new ResponseWriter.Times(
                options.times().keepAliveMs(), options.times().idleTimeoutMs());
        RoutedCall call =
                new RoutedCall(requestId, Objects.requireNonNull(caller.customer()), current, route, pool, metadata);
        CallerWait callerWait = call.callerWait(System.nanoTime());
        ResponseWriter writer = ResponseWriter.unchanged(
                caller.http(), requestId, times, new CallListener(caller, requestId, callerWait));
        writer.start(buffer);
        long digest = RequestDigest.of(call.customer(), caller.http(), body);
        caller.setDigest(digest);
        long elapsedMs = head.hasElapsed() ? head.elapsedMs() : elapsedMs(route, metadata);
        ResponseRelay relay =
                new ResponseRelay(buffer, new ChunkRecorder(caller), FailureStatus::of, writer::checkCaller);
        submitter.submit(
                call.spec(clockMs.getAsLong(), elapsedMs).withDigest(digest),
                call.toTarget(caller.http(), decoder, head.headers(), body, callerWait),
                route.kind().isRepeatable() ? relay : RejectionGuard.before(relay));
    }

    /** Estimated time since the caller's first attempt, so that a retry's latency objective counts from then. */
    private long elapsedMs(Route route, CallMetadata metadata) {
        return timeoutEstimates
                .computeIfAbsent(route.name(), missing -> new CallerTimeoutEstimate())
                .elapsedMs(metadata.timeoutMs());
    }

    private void refuse(CallerExchange caller, Failure failure) {
        setRetryAfter(caller.http(), failure);
        caller.refuse(failure, clockMs.getAsLong());
    }

    private void setRetryAfter(HttpServerExchange exchange, Failure failure) {
        if (failure.retryAfterMs() > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, decoder.retryAfter(failure.retryAfterMs()));
        }
    }

    private static Map<String, String> endToEnd(HeaderMap received) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (HeaderValues values : received) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            if (!ForwardedHeaders.isHopByHop(name, received)) {
                headers.put(name, String.join(", ", values));
            }
        }
        return headers;
    }

    static String pathOf(String requestUri) {
        int query = requestUri.indexOf('?');
        return query < 0 ? requestUri : requestUri.substring(0, query);
    }

    /** Records the chunks of the target's response. */
    private final class ChunkRecorder implements ResponseRelay.Progress {
        private final CallerExchange caller;

        ChunkRecorder(CallerExchange caller) {
            this.caller = caller;
        }

        @Override
        public void onChunk() {
            caller.chunkReceived(clockMs.getAsLong());
        }

        @Override
        public void onSent() {
            caller.sent();
        }

        @Override
        public void onPosition(String lastEventId) {
            caller.positionReached(lastEventId);
        }
    }

    /** Handles the progress of writing the response to the caller. */
    private final class CallListener implements ResponseWriter.Listener {
        private final CallerExchange caller;
        private final long requestId;
        private final CallerWait callerWait;

        CallListener(CallerExchange caller, long requestId, CallerWait callerWait) {
            this.caller = caller;
            this.requestId = requestId;
            this.callerWait = callerWait;
        }

        @Override
        public void onRefusal(Failure failure) {
            setRetryAfter(caller.http(), failure);
        }

        @Override
        public void onHead(int status) {
            caller.headWritten(status, clockMs.getAsLong());
        }

        @Override
        public void onWritten() {
            caller.progressed(clockMs.getAsLong());
            callerWait.progressed(System.nanoTime());
        }

        @Override
        public Failure onInputEnded() {
            submitter.callerGone(requestId);
            return Failure.unknown(ErrorType.CALLER_GONE, "");
        }

        @Override
        public void onEnd(ResponseWriter.Result result) {
            if (result.abandoned()) {
                submitter.callerGone(requestId);
            }
            caller.end(result, clockMs.getAsLong());
        }
    }
}
