package org.marjoramswitch.daemon.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Maps a request to the route of its host with the longest matching path prefix. Route prefixes end with a slash, so
 * only the prefixes of the path that end with a slash are looked up, longest first.
 */
public final class RouteTable {
    public static final RouteTable EMPTY = new RouteTable(Map.of());

    private final Map<String, Map<String, Route>> byHostAndPrefix;

    private RouteTable(Map<String, Map<String, Route>> byHostAndPrefix) {
        this.byHostAndPrefix = byHostAndPrefix;
    }

    public static RouteTable of(Collection<Route> routes) {
        Map<String, Map<String, Route>> index = new HashMap<>();
        for (Route route : routes) {
            index.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.pathPrefix(), route);
        }
        return new RouteTable(index);
    }

    /** @param host the host as sent by the caller, with or without a port; null if it sent none */
    public @Nullable Route find(@Nullable String host, String path) {
        Map<String, Route> byPrefix = host == null ? null : byHostAndPrefix.get(hostName(host));
        if (byPrefix == null) {
            return null;
        }
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
            slash = slash == 0 ? -1 : path.lastIndexOf('/', slash - 1);
        }
        return null;
    }

    public int size() {
        return byHostAndPrefix.values().stream().mapToInt(Map::size).sum();
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        boolean hasPort = colon > 0 && host.indexOf(']', colon) < 0;
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }
}
