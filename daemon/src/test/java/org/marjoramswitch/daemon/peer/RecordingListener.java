package org.marjoramswitch.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/** Records the messages and link changes that a test then awaits. */
final class RecordingListener implements PeerListener {
    private static final int TIMEOUT_S = 20;

    final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();
    final BlockingQueue<LinkChange> changes = new LinkedBlockingQueue<>();

    @Override
    public void onMessage(InstanceId from, long fromIncarnation, PeerMessage message) {
        messages.add(message);
    }

    @Override
    public void onLinkChanged(InstanceId peer, long incarnation, boolean up) {
        changes.add(new LinkChange(peer, incarnation, up));
    }

    PeerMessage awaitMessage() throws InterruptedException {
        PeerMessage message = messages.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(message, "no message was received in time");
        return message;
    }

    void expectChange(InstanceId peer, long incarnation, boolean up) throws InterruptedException {
        assertEquals(new LinkChange(peer, incarnation, up), changes.poll(TIMEOUT_S, TimeUnit.SECONDS));
    }

    record LinkChange(InstanceId peer, long incarnation, boolean up) {}
}
