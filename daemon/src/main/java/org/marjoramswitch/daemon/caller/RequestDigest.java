package org.marjoramswitch.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.marjoramswitch.kernel.misc.Sha256;
import org.marjoramswitch.kernel.model.CustomerId;

/**
 * The same number for requests that are alike in customer, path and body, on every instance; callers name each try anew,
 * so nothing else tells that a request has come again. It is cryptographic, since one customer must not be able to make
 * up a request that is taken for another's.
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
