package org.marjoramswitch.daemon.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.route.Route.PoolShare;
import org.marjoramswitch.kernel.model.PoolId;

class RouteTableTest {
    private static final PoolId OLD = PoolId.of("old");
    private static final PoolId NEW = PoolId.of("new");

    private final RouteTable table = RouteTable.of(List.of(
            route("all", "h.example", "/"),
            route("a", "h.example", "/a/"),
            route("deep", "h.example", "/a/b/c/"),
            route("other", "g.example", "/a/")));

    @Test
    void findsLongestPrefixOfHost() {
        assertEquals("deep", find("h.example", "/a/b/c/d"));
        assertEquals("a", find("h.example", "/a/b/c"));
        assertEquals("a", find("h.example", "/a/"));
        assertEquals("all", find("h.example", "/a"));
        assertEquals("other", find("g.example", "/a/x"));
    }

    @Test
    void ignoresCaseAndPortOfHost() {
        assertEquals("a", find("H.Example:8080", "/a/x"));
    }

    @Test
    void findsNoRouteForUnknownHostOrPath() {
        assertNull(find("g.example", "/b/x"));
        assertNull(find("strange.example", "/a/x"));
        assertNull(find(null, "/a/x"));
        assertNull(find("h.example", "*"));
    }

    @Test
    void selectsPoolsByWeight() {
        Route split = new Route(
                "r",
                "h",
                "/",
                RouteKind.IDEMPOTENT,
                List.of(new PoolShare(OLD, 90), new PoolShare(NEW, 10)),
                1,
                1_000,
                100,
                0,
                1,
                false);
        Map<PoolId, Integer> drawn = new HashMap<>();
        for (int draw = 0; draw < 1_000; draw++) {
            drawn.merge(split.pool(draw), 1, Integer::sum);
        }
        assertEquals(Map.of(OLD, 900, NEW, 100), drawn);
        assertEquals(split.pool(-7), split.pool(-7));
    }

    private @Nullable String find(@Nullable String host, String path) {
        Route found = table.find(host, path);
        return found == null ? null : Objects.requireNonNull(found).name();
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name, host, prefix, RouteKind.IDEMPOTENT, List.of(new PoolShare(OLD, 1)), 1, 1_000, 100, 0, 1, false);
    }
}
