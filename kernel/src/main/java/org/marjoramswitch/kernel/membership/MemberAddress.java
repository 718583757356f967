package org.marjoramswitch.kernel.membership;

/** The host and port on which an instance receives datagrams (UDP) and peer connections (TCP). */
public record MemberAddress(String host, int port) {
    public static MemberAddress of(String host, int port) {
        return new MemberAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
