package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.settings.FleetSettings;

/** Determines a request's customer by its API key. */
final class Authenticator {
    private static final long NOT_READY_RETRY_AFTER_MS = 2_000;

    private final Supplier<FleetSettings> settings;
    private final ApiKeys keys = ApiKeys.create();

    private Authenticator(Supplier<FleetSettings> settings) {
        this.settings = settings;
    }

    static Authenticator of(Supplier<FleetSettings> settings) {
        return new Authenticator(settings);
    }

    /** The customer, or the reason for the rejection. */
    sealed interface Result {
        record Authenticated(CustomerId customer) implements Result {}

        record Refused(Failure failure) implements Result {}
    }

    Result authenticate(HttpServerExchange exchange) {
        FleetSettings current = settings.get();
        if (current.generation() == 0) {
            // Without settings every key is unknown, and a 401 would tell the caller never to retry.
            return new Result.Refused(Failure.notRun(ErrorType.NOT_READY, NOT_READY_RETRY_AFTER_MS, ""));
        }
        @Nullable
        CustomerId customer = keys.customer(
                current.generation(),
                current.customers(),
                exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
        return customer == null
                ? new Result.Refused(Failure.notRun(ErrorType.UNKNOWN_API_KEY, 0, ""))
                : new Result.Authenticated(customer);
    }
}
