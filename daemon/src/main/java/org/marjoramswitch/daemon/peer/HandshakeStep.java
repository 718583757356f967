package org.marjoramswitch.daemon.peer;

import org.marjoramswitch.kernel.error.ErrorType;

/** The action to take after processing a handshake message. */
@SuppressWarnings("ArrayRecordComponent") // written to the socket, never compared by equals
sealed interface HandshakeStep {

    /** Send this reply. */
    record Reply(byte[] bytes) implements HandshakeStep {}

    /** The peer is authenticated; {@link PeerRoute} decides whether the connection becomes the link. */
    record PeerAuthenticated(long lastLinkId) implements HandshakeStep {}

    /** The acceptor has accepted the link. */
    record Complete() implements HandshakeStep {}

    /** Close the connection. */
    record Failed(ErrorType type, String detail) implements HandshakeStep {}
}
