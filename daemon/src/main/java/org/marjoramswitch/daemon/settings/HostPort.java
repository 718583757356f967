package org.marjoramswitch.daemon.settings;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;
import org.wildfly.common.net.Inet;

/** An IP address and a port; port 0 lets the system assign a free port. */
public record HostPort(String host, int port) {
    /** IPv6, or IPv4 without leading zeros. */
    private static final Pattern ADDRESS_CHARS =
            Pattern.compile("[0-9a-fA-F:]*:[0-9a-fA-F:.]*|(0|[1-9][0-9]*)([.](0|[1-9][0-9]*))*");

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

    /** Whether the host is an IP address in its usual form, so that no name is resolved when it is used. */
    public boolean isIpAddress() {
        return isIpAddress(host);
    }

    /** As {@link #isIpAddress()}, for a host alone. */
    public static boolean isIpAddress(String host) {
        // The parser also accepts brackets, and leading zeros, which other programs read as octal numbers.
        return ADDRESS_CHARS.matcher(host).matches() && Inet.parseInetAddress(host) != null;
    }

    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
