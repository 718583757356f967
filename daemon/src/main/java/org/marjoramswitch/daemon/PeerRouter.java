package org.marjoramswitch.daemon;

import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.marjoramswitch.daemon.core.DecisionLoop;
import org.marjoramswitch.daemon.fleet.FleetDirectory;
import org.marjoramswitch.daemon.peer.PeerListener;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/** Dispatches each peer message to the component that processes it. */
final class PeerRouter implements PeerListener {
    private final FleetDirectory directory;
    private final DecisionLoop decisions;
    private final BiPredicate<InstanceId, PeerMessage> settings;
    private final KeyMessageHandler keys;
    private final Consumer<InstanceId> onLinkLost;

    private PeerRouter(
            FleetDirectory directory,
            DecisionLoop decisions,
            BiPredicate<InstanceId, PeerMessage> settings,
            KeyMessageHandler keys,
            Consumer<InstanceId> onLinkLost) {
        this.directory = directory;
        this.decisions = decisions;
        this.settings = settings;
        this.keys = keys;
        this.onLinkLost = onLinkLost;
    }

    /** Processes a message about request keys; returns false for any other. */
    @FunctionalInterface
    interface KeyMessageHandler {
        KeyMessageHandler NONE = (from, fromIncarnation, message) -> false;

        boolean onMessage(InstanceId from, long fromIncarnation, PeerMessage message);
    }

    /**
     * @param settings processes a message about settings; returns false for any other
     * @param onLinkLost notified of a peer whose link broke or fell silent
     */
    static PeerRouter of(
            FleetDirectory directory,
            DecisionLoop decisions,
            BiPredicate<InstanceId, PeerMessage> settings,
            KeyMessageHandler keys,
            Consumer<InstanceId> onLinkLost) {
        return new PeerRouter(directory, decisions, settings, keys, onLinkLost);
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
        // The view is updated first: an arbiter drops everything it holds for an older incarnation of the peer, and
        // messages from the new link must not be attributed to that incarnation.
        if (up) {
            directory.setIncarnation(peer, incarnation);
        }
        decisions.onLinkChanged(peer, incarnation, up);
        if (!up) {
            onLinkLost.accept(peer);
        }
    }
}
