package org.marjoramswitch.daemon.caller;

import java.util.function.Supplier;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.route.Route;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.kernel.admission.AdmissionRequest;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;

/**
 * Estimates the customer, the tokens and the work of requests that were not read, in the same way as those of requests that
 * were ({@link AdmissionEstimate}). Thread-safe.
 */
final class UnreadRequests {
    private static final PoolId NO_POOL = PoolId.of("-");

    private final CallDecoder decoder;
    private final Supplier<RoutedSettings> settings;
    private final ApiKeys apiKeys = ApiKeys.create();

    private UnreadRequests(CallDecoder decoder, Supplier<RoutedSettings> settings) {
        this.decoder = decoder;
        this.settings = settings;
    }

    static UnreadRequests of(CallDecoder decoder, Supplier<RoutedSettings> settings) {
        return new UnreadRequests(decoder, settings);
    }

    /** Requests that {@link ForwardHandler} would refuse for their route or key count as demand of no pool. */
    AdmissionRequest of(UnreadHead head) {
        RoutedSettings current = settings.get();
        Route route = current.routes()
                .find(head.headers().get(UnreadHeadParser.HOST), ForwardHandler.pathOf(head.requestUri()));
        boolean needsKey = current.keyRequired() && (route == null || !route.open());
        CustomerId customer = needsKey
                ? apiKeys.customer(current.version(), current.customers(), head.authorization())
                : RoutedCall.NO_CUSTOMER;
        if (route == null || customer == null) {
            CustomerId known = customer == null ? RoutedCall.NO_CUSTOMER : customer;
            return new AdmissionRequest(known, NO_POOL, "", 1, AdmissionRequest.UNKNOWN, 0, 0);
        }
        CallHead decoded =
                CallHead.of(head.headers(), decoder.read(head.headers())).withElapsedMs(0);
        return AdmissionEstimate.of(customer, current, route, decoded);
    }
}
