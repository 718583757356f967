package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.marjoramswitch.kernel.misc.Sha256;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * Computes a digest that is equal on every instance for requests with equal customer, path, query and body. It
 * identifies repeated requests, because callers use a new request id for each attempt. The hash is cryptographic, so
 * that a customer cannot construct a request whose digest equals that of another customer's request.
 */
final class RequestDigest {
    private static final byte[] SEPARATOR = {0};

    private RequestDigest() {}

    static long of(CustomerId customer, HttpServerExchange exchange, byte[] body) {
        byte[] path = bytes(exchange.getRequestURI() + '?' + exchange.getQueryString());
        byte[] hash = Sha256.of(bytes(customer.name()), SEPARATOR, path, SEPARATOR, body);
        return ByteBuffer.wrap(hash).getLong();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
