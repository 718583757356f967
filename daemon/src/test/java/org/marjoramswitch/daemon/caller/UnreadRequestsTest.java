package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.exchange.CallDecoder;
import org.marjoramswitch.daemon.route.Route;
import org.marjoramswitch.daemon.route.RouteKind;
import org.marjoramswitch.daemon.route.RouteTable;
import org.marjoramswitch.daemon.route.RoutedSettings;
import org.marjoramswitch.kernel.admission.AdmissionRequest;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.PromptPart;
import org.marjoramswitch.kernel.settings.PoolSettings;

/** Guards against demand of a flooding customer that is counted for another customer, pool or size than its own. */
class UnreadRequestsTest {
    private static final PoolId ENGINES = PoolId.of("engines");
    private static final PoolId SERVICE = PoolId.of("service");
    private static final CustomerId NO_CUSTOMER = CustomerId.of("-");

    private final RoutedSettings settings = new RoutedSettings(
            1,
            RouteTable.of(
                    List.of(route("generate", "/generate/", ENGINES, false), route("ping", "/ping/", SERVICE, true))),
            Map.of(ENGINES, PoolSettings.modelEngines(ENGINES), SERVICE, PoolSettings.modelEngines(SERVICE)),
            Map.of(),
            Map.of(),
            Map.of(),
            true,
            RoutedSettings.NONE.limits());

    private static Route route(String name, String path, PoolId pool, boolean open) {
        List<Route.PoolShare> shares = List.of(new Route.PoolShare(pool, 1));
        return new Route(name, "h", path, RouteKind.IDEMPOTENT, shares, 1, 6_000, 800, 0, 0, open);
    }

    @Test
    void requestsOfOpenRoutesHaveTheirTokens() {
        AdmissionRequest request = estimate(settings, "/ping/x?y");
        assertEquals(NO_CUSTOMER, request.customer());
        assertEquals(SERVICE, request.pool());
        assertEquals("ping", request.kind());
        assertEquals(5_000 + 2 * 40, request.tokens());
    }

    @Test
    void requestsThatWouldBeRefusedAreNobodysDemand() {
        for (String uri : List.of("/generate/x", "/unknown/", "")) {
            AdmissionRequest request = estimate(settings, uri);
            assertEquals(NO_CUSTOMER, request.customer());
            assertEquals(PoolId.of("-"), request.pool());
        }
        assertEquals(PoolId.of("-"), estimate(RoutedSettings.NONE, "/ping/").pool());
    }

    private static AdmissionRequest estimate(RoutedSettings settings, String uri) {
        Map<String, String> headers = Map.of("host", "h:80", "authorization", "Bearer unknown", "tokens", "5000");
        return UnreadRequests.of(new TokensDecoder(), () -> settings).of(new UnreadHead(uri, headers, 100, 0));
    }

    private static final class TokensDecoder implements CallDecoder {
        @Override
        public CallMetadata read(Map<String, String> headers) {
            int tokens = Integer.parseInt(headers.getOrDefault("tokens", "0"));
            return new CallMetadata("id", 6_000, List.of(PromptPart.of(1, tokens)), 40, 0, "", "");
        }

        @Override
        public Map<String, String> forTarget(Map<String, String> headers, @Nullable CustomerId customer) {
            return headers;
        }

        @Override
        public String retryAfter(long retryAfterMs) {
            return Long.toString(retryAfterMs);
        }
    }
}
