package org.marjoramswitch.daemon;

import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.peer.PeerLinks;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Stands for the links in the duties that the links themselves depend on. What is sent before the links are there is
 * dropped, as it is for a peer without a link; a link that comes up registers anew.
 */
final class DeferredPeerSender implements PeerSender {
    private volatile @Nullable PeerLinks links;

    void setLinks(PeerLinks started) {
        links = started;
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
        PeerLinks current = links;
        if (current != null) {
            current.send(to, message);
        }
    }

    /** Breaks the link to a peer; it comes up again by itself. */
    void disconnect(InstanceId peer) {
        PeerLinks current = links;
        if (current != null) {
            current.disconnect(peer);
        }
    }
}
