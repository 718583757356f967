package org.marjoramswitch.daemon.peer;

import java.util.Locale;

/** Why a connection to a peer was closed. */
enum DisconnectReason {
    /** The peer or the network closed the connection. */
    CLOSED,
    /** An active link received nothing within the silence timeout. */
    SILENT,
    /** The handshake did not complete in time. */
    HANDSHAKE_TIMEOUT,
    /** The peer did not prove that it knows the fleet key, or is not the expected instance. */
    HANDSHAKE_FAILED,
    /** A frame could not be decoded. */
    FRAME_INVALID,
    /** The ring of queued messages overflowed. */
    RING_FULL,
    /** This instance had no capacity to accept a message from the peer. */
    RECEIVER_FULL,
    /** A message exceeded the maximum frame size. */
    MESSAGE_TOO_LARGE,
    /** Another connection to the same peer is used as the link. */
    REPLACED,
    /** No message was exchanged within the idle timeout. */
    IDLE,
    /** The peer is no longer in the list of peers. */
    PEER_REMOVED,
    /** Too many connections are unauthenticated. */
    TOO_MANY,
    /** This instance is shutting down its links. */
    SHUTDOWN;

    String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
