package org.marjoramswitch.daemon.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.peer.PeerSender;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.InstanceId;

/** Peer links between the instances of one test. Messages to an unknown or disconnected instance are lost. */
final class FakePeers {
    private final Map<InstanceId, Peer> peers = new ConcurrentHashMap<>();

    private record Peer(long incarnation, RequestKeys keys, HostPort address) {}

    void join(InstanceId instance, long incarnation, RequestKeys keys, HostPort address) {
        peers.put(instance, new Peer(incarnation, keys, address));
    }

    void disconnect(InstanceId instance) {
        peers.remove(instance);
    }

    @Nullable
    HostPort address(InstanceId instance) {
        Peer peer = peers.get(instance);
        return peer == null ? null : peer.address();
    }

    PeerSender from(InstanceId sender) {
        return (to, message) -> {
            Peer receiver = peers.get(to);
            Peer origin = peers.get(sender);
            if (receiver != null && origin != null) {
                receiver.keys().onMessage(sender, origin.incarnation(), message);
            }
        };
    }
}
