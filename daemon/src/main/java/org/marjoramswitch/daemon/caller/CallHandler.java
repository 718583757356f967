package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.settings.FleetSettings;

/** Admits a caller's request, reads its body and passes the call to the {@link CallIntake}. */
final class CallHandler implements HttpHandler {
    private static final long FULL_RETRY_AFTER_MS = 1_000;
    private static final int MAX_INLINE_PARSE_BYTES = 64 << 10;

    private final CallerOptions options;
    private final Authenticator authenticator;
    private final Supplier<FleetSettings> settings;
    private final RequestKeys keys;
    private final CallIntake intake;
    private final MemoryBudget budget;
    private final LongSupplier clockMs;
    private final CallerMetrics metrics;

    private CallHandler(
            CallerOptions options,
            Authenticator authenticator,
            Supplier<FleetSettings> settings,
            RequestKeys keys,
            CallIntake intake,
            MemoryBudget budget,
            LongSupplier clockMs,
            CallerMetrics metrics) {
        this.options = options;
        this.authenticator = authenticator;
        this.settings = settings;
        this.keys = keys;
        this.intake = intake;
        this.budget = budget;
        this.clockMs = clockMs;
        this.metrics = metrics;
    }

    /** @param budget counts the requests' memory, which is reserved here and released by the intake */
    static CallHandler of(
            CallerOptions options,
            Authenticator authenticator,
            Supplier<FleetSettings> settings,
            RequestKeys keys,
            CallIntake intake,
            MemoryBudget budget,
            LongSupplier clockMs,
            CallerMetrics metrics) {
        return new CallHandler(options, authenticator, settings, keys, intake, budget, clockMs, metrics);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerExchange caller = CallerExchange.begin(exchange, metrics, clockMs.getAsLong());
        Failure refusal = admit(caller);
        if (refusal != null) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> refuse(caller, refusal));
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> readBody(caller));
    }

    private @Nullable Failure admit(CallerExchange caller) {
        HttpServerExchange exchange = caller.http();
        Authenticator.Result result = authenticator.authenticate(exchange);
        if (result instanceof Authenticator.Result.Refused refused) {
            return refused.failure();
        }
        caller.setCustomer(((Authenticator.Result.Authenticated) result).customer());
        if (metrics.openRequests() > options.maxRequests()) {
            return Failure.notRun(ErrorType.ENTRY_QUEUE_FULL, FULL_RETRY_AFTER_MS, "");
        }
        if (!exchange.isHttp11()) {
            // An HTTP/1.0 response ends with its connection, so a partial one is indistinguishable from a complete one.
            return Failure.notRun(ErrorType.MALFORMED_REQUEST, 0, "HTTP/1.1 is needed");
        }
        return null;
    }

    private void readBody(CallerExchange caller) {
        MemoryAccount account = budget.account(Objects.requireNonNull(caller.customer()));
        RequestMemory memory = caller.setMemory(RequestMemory.of(account, clockMs.getAsLong()));
        BodyReader.read(
                caller, options.maxBodyBytes(), options.times().bodyTimeoutMs(), memory, new BodyReader.Listener() {
                    @Override
                    public void onBody(byte[] body) {
                        parseBody(caller, body);
                    }

                    @Override
                    public void onRefused(Failure failure) {
                        refuse(caller, failure);
                    }
                });
    }

    /** Parses a large body on the worker: it takes milliseconds and would delay all other callers of the I/O thread. */
    private void parseBody(CallerExchange caller, byte[] body) {
        if (body.length <= MAX_INLINE_PARSE_BYTES) {
            acceptCall(caller, read(caller, body));
            return;
        }
        caller.http().getConnection().getWorker().execute(() -> {
            CallReader.Result result = read(caller, body);
            caller.onIoThread(() -> acceptCall(caller, result));
        });
    }

    private CallReader.Result read(CallerExchange caller, byte[] body) {
        CustomerId customer = Objects.requireNonNull(caller.customer());
        return CallReader.read(caller.http(), customer, settings.get(), body);
    }

    private void acceptCall(CallerExchange caller, CallReader.Result result) {
        if (result instanceof CallReader.Result.Refused refused) {
            caller.memory().releaseAll();
            refuse(caller, refused.failure());
            return;
        }
        intake.accept(caller, ((CallReader.Result.Parsed) result).call());
    }

    private void refuse(CallerExchange caller, Failure failure) {
        CustomerId customer = caller.customer();
        String key = caller.http().getRequestHeaders().getFirst(CallHeaders.REQUEST_KEY);
        Failure reported = customer == null ? failure : keys.refuse(customer, key, failure);
        caller.refuse(reported, clockMs.getAsLong());
    }
}
