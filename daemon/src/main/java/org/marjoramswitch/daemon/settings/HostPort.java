package org.marjoramswitch.daemon.settings;

import java.net.InetSocketAddress;

/** An IP address and a port; port 0 lets the system assign a free port. */
public record HostPort(String host, int port) {
    public static HostPort of(String host, int port) {
        return new HostPort(host, port);
    }

    /** Parses {@code host:port}; throws IllegalArgumentException for any other text. */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("no port in " + text);
        }
        return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
