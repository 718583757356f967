package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;

/**
 * Dispatches requests to handlers by path and method. Unknown paths, wrong methods and exceptions of handlers become
 * problems. While the instance is not ready, each response closes its connection so that callers choose another
 * instance.
 */
final class Routes implements HttpHandler {
    private static final KeyValueLog LOG = KeyValueLog.of(Routes.class);

    private final Map<String, Route> exact = new LinkedHashMap<>();
    private final HttpHandler services;
    private final Supplier<Health> health;

    private Routes(HttpHandler services, Supplier<Health> health) {
        this.services = services;
        this.health = health;
    }

    private record Route(HttpString method, HttpHandler handler) {}

    /** @param services handles all methods on all paths below {@code /services/} */
    static Routes of(HttpHandler services, Supplier<Health> health) {
        return new Routes(services, health);
    }

    Routes get(String path, HttpHandler handler) {
        exact.put(path, new Route(Methods.GET, handler));
        return this;
    }

    Routes post(String path, HttpHandler handler) {
        exact.put(path, new Route(Methods.POST, handler));
        return this;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (!health.get().ready()) {
            // A caller that reuses its connection would stay with a draining instance until it exits.
            exchange.setPersistent(false);
        }
        try {
            route(exchange);
        } catch (RuntimeException e) {
            LOG.error(e, "handler_failed", "error", ErrorType.INTERNAL.number(), "path", exchange.getRequestPath());
            refuse(exchange, Failure.unknown(ErrorType.INTERNAL, e.getClass().getSimpleName()));
        }
    }

    private void route(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestPath();
        if (path.startsWith(CallReader.SERVICES_PREFIX) && path.length() > CallReader.SERVICES_PREFIX.length()) {
            services.handleRequest(exchange);
            return;
        }
        @Nullable Route route = exact.get(path);
        if (route == null) {
            refuse(exchange, Failure.notRun(ErrorType.UNKNOWN_PATH, 0, path));
            return;
        }
        if (!route.method().equals(exchange.getRequestMethod())) {
            exchange.getResponseHeaders().put(Headers.ALLOW, route.method().toString());
            refuse(
                    exchange,
                    Failure.notRun(
                            ErrorType.METHOD_NOT_ALLOWED,
                            0,
                            exchange.getRequestMethod().toString()));
            return;
        }
        route.handler().handleRequest(exchange);
    }

    private static void refuse(HttpServerExchange exchange, Failure failure) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> LingeringClose.send(exchange, null, failure, 0));
    }
}
