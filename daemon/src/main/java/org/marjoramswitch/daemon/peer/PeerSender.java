package org.marjoramswitch.daemon.peer;

import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/** Sends messages to peers. */
public interface PeerSender {
    /** Queues a message for the link to the peer and opens the link if there is none; never blocks. */
    void send(InstanceId to, PeerMessage message);
}
