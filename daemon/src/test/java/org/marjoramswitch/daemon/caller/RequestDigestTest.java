package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.model.CustomerId;

class RequestDigestTest {
    private static final long DIGEST = digest("a", "/x/1", "q=1", "body");

    @Test
    void equalRequestsHaveTheSameDigest() {
        assertEquals(DIGEST, digest("a", "/x/1", "q=1", "body"));
    }

    @Test
    void digestDependsOnCustomerPathQueryAndBody() {
        assertNotEquals(DIGEST, digest("b", "/x/1", "q=1", "body"));
        assertNotEquals(DIGEST, digest("a", "/x/2", "q=1", "body"));
        assertNotEquals(DIGEST, digest("a", "/x/1", "q=2", "body"));
        assertNotEquals(DIGEST, digest("a", "/x/1", "q=1", "other"));
    }

    private static long digest(String customer, String path, String query, String body) {
        HttpServerExchange exchange =
                new HttpServerExchange(null).setRequestURI(path).setQueryString(query);
        return RequestDigest.of(CustomerId.of(customer), exchange, body.getBytes(StandardCharsets.UTF_8));
    }
}
