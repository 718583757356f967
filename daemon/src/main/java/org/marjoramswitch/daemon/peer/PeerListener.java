package org.marjoramswitch.daemon.peer;

import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/** Receives messages and state changes of the peer links. Called on the links thread; must not block. */
public interface PeerListener {
    void onMessage(InstanceId from, long fromIncarnation, PeerMessage message);

    /** Called with {@code up} true after each completed handshake, and false when the link is closed or unreachable. */
    void onLinkChanged(InstanceId peer, long incarnation, boolean up);
}
