package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.exchange.TargetCall;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetKind;

/** Parses a caller's request into a {@link Call}, or rejects it with the reason. */
final class CallReader {
    static final String CHAT_PATH = "/v1/chat/completions";
    static final String SERVICES_PREFIX = "/services/";

    private CallReader() {}

    /** The call, or the reason for the rejection. */
    sealed interface Result {
        record Parsed(Call call) implements Result {}

        record Refused(Failure failure) implements Result {}
    }

    static Result read(HttpServerExchange exchange, CustomerId customer, FleetSettings settings, byte[] body) {
        try {
            CallHeaders headers = CallHeaders.read(exchange.getRequestHeaders());
            return exchange.getRequestPath().equals(CHAT_PATH)
                    ? readChat(exchange, customer, settings, headers, body)
                    : readService(exchange, customer, settings, headers, body);
        } catch (MalformedCallException e) {
            return refused(ErrorType.MALFORMED_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    private static Result readChat(
            HttpServerExchange exchange, CustomerId customer, FleetSettings settings, CallHeaders headers, byte[] body)
            throws MalformedCallException {
        ChatBody chat = ChatBody.parse(body);
        PoolSettings pool = pool(settings, chat.model(), TargetKind.MODEL_ENGINE);
        if (pool == null) {
            return refused(ErrorType.UNKNOWN_POOL, chat.model());
        }
        Map<String, String> forwarded = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        forwarded.put("content-type", Replies.JSON);
        forwarded.put(ForwardedHeaders.CUSTOMER, customer.name());
        TargetCall call =
                TargetCall.of(TargetKind.MODEL_ENGINE, Methods.POST_STRING, CHAT_PATH, forwarded, body, chat.stream());
        return new Result.Parsed(new Call(
                customer,
                pool,
                headers,
                call,
                chat.maxTokens(),
                chat.prefixHash(),
                RequestDigest.of(customer, exchange, body)));
    }

    private static Result readService(
            HttpServerExchange exchange,
            CustomerId customer,
            FleetSettings settings,
            CallHeaders headers,
            byte[] body) {
        String name = serviceName(exchange.getRequestPath());
        PoolSettings pool = pool(settings, name, TargetKind.PLAIN_SERVICE);
        if (pool == null) {
            return refused(ErrorType.UNKNOWN_POOL, name);
        }
        TargetCall call = TargetCall.of(
                TargetKind.PLAIN_SERVICE,
                exchange.getRequestMethod().toString(),
                servicePath(exchange),
                ForwardedHeaders.toTarget(exchange.getRequestHeaders(), customer),
                body,
                false);
        return new Result.Parsed(
                new Call(customer, pool, headers, call, 0, 0, RequestDigest.of(customer, exchange, body)));
    }

    private static String serviceName(String path) {
        String remainder = path.substring(SERVICES_PREFIX.length());
        int slash = remainder.indexOf('/');
        return slash < 0 ? remainder : remainder.substring(0, slash);
    }

    /** The path after the service's name, still encoded as the caller sent it, with the query. */
    private static String servicePath(HttpServerExchange exchange) {
        String path = exchange.getRequestURI();
        int start = path.indexOf(SERVICES_PREFIX) + SERVICES_PREFIX.length();
        int slash = path.indexOf('/', start);
        String remainder = slash < 0 ? "/" : path.substring(slash);
        String query = exchange.getQueryString();
        return query.isEmpty() ? remainder : remainder + '?' + query;
    }

    private static @Nullable PoolSettings pool(FleetSettings settings, String name, TargetKind kind) {
        PoolSettings pool = settings.pools().get(PoolId.of(name));
        return pool != null && pool.kind() == kind ? pool : null;
    }

    private static Result refused(ErrorType type, String detail) {
        return new Result.Refused(Failure.notRun(type, 0, detail));
    }
}
