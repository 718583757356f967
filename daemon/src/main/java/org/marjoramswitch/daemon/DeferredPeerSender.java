package org.marjoramswitch.daemon;

import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.peer.PeerLinks;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/**
 * Forwards messages to the peer links once they have started; used by the components that the links depend on. Messages
 * sent earlier are dropped, as for a peer without a link, because the instance registers again over each link that
 * comes up.
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

    /** Closes the link to a peer; it is reopened automatically. */
    void disconnect(InstanceId peer) {
        PeerLinks current = links;
        if (current != null) {
            current.disconnect(peer);
        }
    }
}
