package org.marjoramswitch.daemon.peer;

import java.util.Locale;

/** Why a connection to a peer was closed. */
enum DisconnectReason {
    /** The peer closed it, or the network did. */
    CLOSED,
    /** Nothing came while something should have. */
    SILENT,
    /** The handshake did not end in time. */
    HANDSHAKE_TIMEOUT,
    /** The peer did not prove that it knows the fleet key, or is another instance than expected. */
    HANDSHAKE_FAILED,
    /** A frame could not be decoded. */
    FRAME_INVALID,
    /** More messages waited than the ring holds. */
    RING_FULL,
    /** This instance could not take in a message of the peer. */
    RECEIVER_FULL,
    /** A message was larger than a frame may be. */
    MESSAGE_TOO_LARGE,
    /** Another connection to the same peer is kept. */
    REPLACED,
    /** Nothing was said for long. */
    IDLE,
    /** The peer is no longer in the list of peers. */
    PEER_REMOVED,
    /** Too many connections have not proved who they are. */
    TOO_MANY,
    /** This instance closes its links. */
    SHUTDOWN;

    String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
