package org.marjoramswitch.daemon.caller;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetKind;

/** Handlers of the endpoints that respond immediately from this instance's local state. */
public final class InfoHandlers {
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long NO_INSTANCE_RETRY_AFTER_MS = 2_000;

    private InfoHandlers() {}

    static HttpHandler address(
            Authenticator authenticator, InstanceDirectory addresses, RequestKeys keys, int lifetimeMs) {
        AtomicLong rotation = new AtomicLong();
        return authenticated(authenticator, (exchange, customer) -> {
            List<InstanceDirectory.Entry> chosen = AddressChooser.choose(
                    addresses.eligible(), customer, addresses.loadFactor(customer), rotation.getAndIncrement());
            if (chosen.isEmpty()) {
                Replies.sendProblem(exchange, Failure.notRun(ErrorType.NOT_READY, NO_INSTANCE_RETRY_AFTER_MS, ""), 0);
                return;
            }
            Replies.send(exchange, OK, Replies.JSON, Json.bytes(addressResponse(chosen, keys, lifetimeMs)));
        });
    }

    private static ObjectNode addressResponse(List<InstanceDirectory.Entry> chosen, RequestKeys keys, int lifetimeMs) {
        ObjectNode response = Json.object();
        ArrayNode instances = response.putArray("instances");
        for (InstanceDirectory.Entry entry : chosen) {
            ObjectNode instance = instances.addObject();
            instance.put("instance", entry.instance().name());
            instance.put("address", entry.address().toString());
            instance.put("requestKeyPrefix", keys.prefix(entry.instance(), entry.incarnation()));
        }
        response.put("keepMs", lifetimeMs);
        return response;
    }

    static HttpHandler models(Authenticator authenticator, Supplier<FleetSettings> settings) {
        return authenticated(authenticator, (exchange, customer) -> {
            ObjectNode response = Json.object();
            response.put("object", "list");
            ArrayNode data = response.putArray("data");
            for (PoolSettings pool : settings.get().pools().values()) {
                if (pool.kind() == TargetKind.MODEL_ENGINE) {
                    ObjectNode model = data.addObject();
                    model.put("id", pool.id().name());
                    model.put("object", "model");
                    model.put("owned_by", "marjoramswitch");
                }
            }
            Replies.send(exchange, OK, Replies.JSON, Json.bytes(response));
        });
    }

    static HttpHandler live(Supplier<Health> health) {
        return exchange -> {
            Health now = health.get();
            sendHealth(exchange, now.live(), now);
        };
    }

    static HttpHandler ready(Supplier<Health> health) {
        return exchange -> {
            Health now = health.get();
            sendHealth(exchange, now.live() && now.ready(), now);
        };
    }

    private static void sendHealth(HttpServerExchange exchange, boolean healthy, Health health) {
        ObjectNode response = Json.object();
        response.put("live", health.live());
        response.put("ready", health.ready());
        response.put("reason", health.reason());
        Replies.send(exchange, healthy ? OK : SERVICE_UNAVAILABLE, Replies.JSON, Json.bytes(response));
    }

    /** Exposes the metrics in the Prometheus text format, or as JSON with the query {@code format=json}. */
    public static HttpHandler metrics(MetricRegistry registry) {
        return exchange -> {
            Deque<String> format = exchange.getQueryParameters().get("format");
            if (format != null && format.contains("json")) {
                Replies.send(exchange, OK, Replies.JSON, MetricsText.json(registry));
            } else {
                Replies.send(exchange, OK, PROMETHEUS, MetricsText.prometheus(registry));
            }
        };
    }

    private static HttpHandler authenticated(Authenticator authenticator, CustomerHandler handler) {
        return exchange -> {
            Authenticator.Result result = authenticator.authenticate(exchange);
            if (result instanceof Authenticator.Result.Refused refused) {
                Replies.sendProblem(exchange, refused.failure(), 0);
                return;
            }
            handler.handle(exchange, ((Authenticator.Result.Authenticated) result).customer());
        };
    }

    /** Handles an authenticated customer's exchange. */
    @FunctionalInterface
    private interface CustomerHandler {
        void handle(HttpServerExchange exchange, CustomerId customer);
    }
}
