package org.marjoramswitch.daemon;

import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.marjoramswitch.daemon.core.DecisionLoop;
import org.marjoramswitch.daemon.fleet.FleetDirectory;
import org.marjoramswitch.daemon.peer.PeerListener;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/** Hands each message of a peer to the duty that it is for. */
final class PeerRouter implements PeerListener {
    private final FleetDirectory directory;
    private final DecisionLoop decisions;
    private final BiPredicate<InstanceId, PeerMessage> settings;
    private final Keys keys;
    private final Consumer<InstanceId> onLost;

    private PeerRouter(
            FleetDirectory directory,
            DecisionLoop decisions,
            BiPredicate<InstanceId, PeerMessage> settings,
            Keys keys,
            Consumer<InstanceId> onLost) {
        this.directory = directory;
        this.decisions = decisions;
        this.settings = settings;
        this.keys = keys;
        this.onLost = onLost;
    }

    /** Takes a message about request keys; false for any other. */
    @FunctionalInterface
    interface Keys {
        Keys NONE = (from, fromIncarnation, message) -> false;

        boolean onMessage(InstanceId from, long fromIncarnation, PeerMessage message);
    }

    /**
     * @param settings takes a message about settings; false for any other
     * @param onLost told of a peer whose link broke or fell silent
     */
    static PeerRouter of(
            FleetDirectory directory,
            DecisionLoop decisions,
            BiPredicate<InstanceId, PeerMessage> settings,
            Keys keys,
            Consumer<InstanceId> onLost) {
        return new PeerRouter(directory, decisions, settings, keys, onLost);
    }

    @Override
    public void onMessage(InstanceId from, long fromIncarnation, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat) {
            return;
        }
        if (settings.test(from, message)) {
            return;
        }
        if (!keys.onMessage(from, fromIncarnation, message)) {
            decisions.onMessage(from, fromIncarnation, message);
        }
    }

    @Override
    public void onLinkChanged(InstanceId peer, long incarnation, boolean up) {
        // The view goes first: an arbiter drops all it holds of an older incarnation, and what the new link brings must
        // not be taken for that.
        if (up) {
            directory.setIncarnation(peer, incarnation);
        }
        decisions.onLinkChanged(peer, incarnation, up);
        if (!up) {
            onLost.accept(peer);
        }
    }
}
