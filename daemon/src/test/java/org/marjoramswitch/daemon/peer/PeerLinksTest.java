package org.marjoramswitch.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;

class PeerLinksTest {
    private static final String KEY = "the fleet's long and random key";
    private static final InstanceId A = InstanceId.of("leith-a-1");
    private static final InstanceId B = InstanceId.of("leith-b-1");
    private static final HostPort ANY_PORT = HostPort.of("127.0.0.1", 0);
    private static final PeerMessage HELLO = new PeerMessage.SettingsHead(7, "digest");

    private final List<PeerLinks> started = new ArrayList<>();
    private final RecordingListener listenerA = new RecordingListener();
    private final RecordingListener listenerB = new RecordingListener();
    private final MetricRegistry metricsA = new MetricRegistry();
    private final MetricRegistry metricsB = new MetricRegistry();

    @AfterEach
    void closeAll() {
        started.forEach(PeerLinks::close);
    }

    @Test
    void messagesArriveInOrderInBothDirectionsAndABurstSharesFrames() throws Exception {
        PeerLinks a = start(A, 1, KEY, listenerA, metricsA);
        PeerLinks b = start(B, 1, KEY, listenerB, metricsB);
        a.setPeers(Map.of(B, address(b)));
        a.send(B, HELLO);
        assertEquals(HELLO, listenerB.awaitMessage());
        listenerA.expectChange(B, 1, true);
        listenerB.expectChange(A, 1, true);

        long framesBefore = count(metricsA, "peer.frames_out");
        for (int i = 0; i < 200; i++) {
            a.send(B, new PeerMessage.SettingsQuery(i));
        }
        for (int i = 0; i < 200; i++) {
            assertEquals(new PeerMessage.SettingsQuery(i), listenerB.awaitMessage());
        }
        b.send(A, HELLO);
        assertEquals(HELLO, listenerA.awaitMessage());
        assertTrue(count(metricsA, "peer.frames_out") - framesBefore < 100);
        assertEquals(200, count(metricsB, "peer.messages_in.settings_query"));
    }

    @Test
    void aDisconnectedLinkIsReopened() throws Exception {
        // B has no capacity to accept a message from A and disconnects. Both ends must be notified that the link is
        // down,
        // so that both send their complete state over the next link, which A opens because it still wants the peer.
        PeerLinks a = start(A, 1, KEY, listenerA, metricsA);
        PeerLinks b = start(B, 1, KEY, listenerB, metricsB);
        a.setPeers(Map.of(B, address(b)));
        a.send(B, HELLO);
        listenerA.expectChange(B, 1, true);
        listenerB.expectChange(A, 1, true);

        b.disconnect(A);

        listenerA.expectChange(B, 1, false);
        listenerB.expectChange(A, 1, false);
        listenerA.expectChange(B, 1, true);
        listenerB.expectChange(A, 1, true);
    }

    @Test
    void aPeerWithAnotherFleetKeyIsNotLinked() throws Exception {
        // B replies to the handshake with a proof made with another key. A closes the connection and counts it; once
        // the
        // peer has been unreachable for a second, A drops the queued message and reports the peer down. B's listener
        // receives nothing.
        PeerLinks a = start(A, 1, KEY, listenerA, metricsA);
        PeerLinks b = start(B, 1, "another key", listenerB, metricsB);
        a.setPeers(Map.of(B, address(b)));

        a.send(B, HELLO);

        listenerA.expectChange(B, 0, false);
        assertTrue(count(metricsA, "peer.unauthenticated") > 0);
        assertEquals(1, count(metricsA, "peer.messages_dropped.settings_head"));
        assertTrue(listenerB.changes.isEmpty());
    }

    @Test
    void aReflectedChallengeIsRejected() throws Exception {
        // An attacker without the key listens at B's address. It sends A's nonce to A on a second connection and
        // replays
        // A's reply as B's. A's proof contains A's id in the acceptor's position, so A must reject and count it.
        PeerLinks a = start(A, 1, KEY, listenerA, metricsA);
        try (RawPeer attacker = new RawPeer()) {
            a.setPeers(Map.of(B, attacker.address()));
            a.send(B, HELLO);
            Socket fromA = attacker.accept();
            var hello = (HandshakeMessage.Hello) HandshakeCodec.decode(RawPeer.receive(fromA));
            Socket toA = RawPeer.connect(a.boundAddress());
            RawPeer.send(toA, HandshakeCodec.encode(new HandshakeMessage.Hello(1, B.name(), 1, hello.nonce())));
            var challenge = (HandshakeMessage.Challenge) HandshakeCodec.decode(RawPeer.receive(toA));
            RawPeer.send(
                    fromA,
                    HandshakeCodec.encode(
                            new HandshakeMessage.Challenge(1, B.name(), 1, challenge.nonce(), challenge.proof())));

            RawPeer.awaitClose(fromA);

            // The same proof is not valid as the initiator's proof either.
            RawPeer.send(toA, HandshakeCodec.encode(new HandshakeMessage.Proof(0, challenge.proof())));
            RawPeer.awaitClose(toA);
            await(() -> count(metricsA, "peer.unauthenticated") >= 2);
            assertFalse(listenerA.changes.stream().anyMatch(RecordingListener.LinkChange::up));
        }
    }

    @Test
    void aSilentPeerIsReportedDownAndANewLinkIsOpened() throws Exception {
        // B completes the handshake and then neither reads nor sends, while its connection stays open. After the
        // silence
        // timeout A must close it and report B down; a new link opens, and A's next message arrives.
        PeerLinks a = start(A, 1, KEY, listenerA, metricsA);
        Member b = member(B, 1);
        try (RawPeer peer = new RawPeer()) {
            a.setPeers(Map.of(B, peer.address()));
            a.send(B, HELLO);
            Socket silent = peer.acceptLink(b, KEY);
            listenerA.expectChange(B, 1, true);
            listenerA.expectChange(B, 1, false);
            assertEquals(1, count(metricsA, "peer.cuts.silent"));

            Socket fresh = peer.acceptLink(b, KEY);
            listenerA.expectChange(B, 1, true);
            a.send(B, HELLO);
            assertTrue(RawPeer.receive(fresh).length > 0);
            silent.close();
        }
    }

    @Test
    void aFrameCutOffByADisconnectIsNotDelivered() throws Exception {
        PeerLinks a = start(A, 1, KEY, listenerA, metricsA);
        try (RawPeer peer = new RawPeer()) {
            a.setPeers(Map.of(B, peer.address()));
            a.send(B, HELLO);
            Socket socket = peer.acceptLink(member(B, 1), KEY);
            socket.getOutputStream().write(new byte[] {10, (byte) 0x92, 16});
            socket.close();

            listenerA.expectChange(B, 1, true);
            listenerA.expectChange(B, 1, false);
            assertTrue(listenerA.messages.isEmpty());
        }
    }

    @Test
    void aFrameAboveTheMaximumSizeClosesTheLinkBeforeItIsRead() throws Exception {
        PeerLinks a = start(A, 1, KEY, listenerA, metricsA);
        try (RawPeer peer = new RawPeer()) {
            a.setPeers(Map.of(B, peer.address()));
            a.send(B, HELLO);
            Socket socket = peer.acceptLink(member(B, 1), KEY);
            socket.getOutputStream().write(new byte[] {(byte) 0xce, 0x7f, 0, 0, 0, 1, 2, 3});

            listenerA.expectChange(B, 1, true);
            listenerA.expectChange(B, 1, false);
            assertEquals(1, count(metricsA, "peer.cuts.frame_invalid"));
        }
    }

    @Test
    void aRestartedPeerIsReportedWithItsNewIncarnation() throws Exception {
        // B is replaced by a new process without state at the same address. A loses the old link and, because it sent
        // to
        // B recently, opens a new one without a further message, which reports the new incarnation.
        PeerLinks a = start(A, 1, KEY, listenerA, metricsA);
        PeerLinks b = start(B, 1, KEY, listenerB, metricsB);
        a.setPeers(Map.of(B, address(b)));
        a.send(B, HELLO);
        listenerA.expectChange(B, 1, true);
        b.close();
        listenerA.expectChange(B, 1, false);

        PeerLinks restarted = PeerLinks.start(member(B, 2), address(b), KEY, listenerB, new MetricRegistry());
        started.add(restarted);

        RecordingListener.LinkChange change = listenerA.changes.poll(20, TimeUnit.SECONDS);
        if (change != null && !change.up()) {
            change = listenerA.changes.poll(20, TimeUnit.SECONDS);
        }
        assertEquals(new RecordingListener.LinkChange(B, 2, true), change);
    }

    @Test
    void simultaneousConnectsLeaveExactlyOneLink() throws Exception {
        // Both instances connect to each other at the same moment, in ten rounds. Each time both ends must keep the
        // same
        // connection, and messages arrive over it in both directions.
        for (int round = 0; round < 10; round++) {
            MetricRegistry registryA = new MetricRegistry();
            MetricRegistry registryB = new MetricRegistry();
            RecordingListener roundListenerA = new RecordingListener();
            RecordingListener roundListenerB = new RecordingListener();
            PeerLinks a = start(A, 1, KEY, roundListenerA, registryA);
            PeerLinks b = start(B, 1, KEY, roundListenerB, registryB);
            a.setPeers(Map.of(B, address(b)));
            b.setPeers(Map.of(A, address(a)));

            a.send(B, HELLO);
            b.send(A, HELLO);

            assertEquals(HELLO, roundListenerA.awaitMessage());
            assertEquals(HELLO, roundListenerB.awaitMessage());
            roundListenerA.expectChange(B, 1, true);
            roundListenerB.expectChange(A, 1, true);
            assertEquals(1, count(registryA, "peer.links"));
            assertEquals(1, count(registryB, "peer.links"));
            a.close();
            b.close();
        }
    }

    @Test
    void aPeerThatDoesNotReadIsDisconnectedAndDroppedMessagesAreCounted() throws Exception {
        // B stays connected but reads nothing. The socket buffer fills, then the ring. A must close the link, count the
        // dropped messages and report B down, so that both sides rebuild their state instead of losing single messages.
        PeerLinkOptions longTimeouts =
                new PeerLinkOptions(2, 100, 60_000, 5_000, 30_000, 300_000, 1_000, 1_000, 20, 2_000, 16);
        PeerLinks a = PeerLinks.start(member(A, 1), ANY_PORT, KEY, listenerA, metricsA, longTimeouts);
        started.add(a);
        PeerMessage large = new PeerMessage.SettingsBodies(1, "digest", Map.of("team", "x".repeat(1 << 20)));
        try (RawPeer peer = new RawPeer()) {
            a.setPeers(Map.of(B, peer.address()));
            a.send(B, HELLO);
            Socket socket = peer.acceptLink(member(B, 1), KEY);
            listenerA.expectChange(B, 1, true);
            await(() -> {
                a.send(B, large);
                return count(metricsA, "peer.cuts.ring_full") == 1;
            });
            listenerA.expectChange(B, 1, false);
            assertTrue(count(metricsA, "peer.messages_dropped.settings_bodies") >= 16);
            socket.close();
        }
    }

    @Test
    void theLinkToAnUnlistedPeerIsClosed() throws Exception {
        PeerLinks a = start(A, 1, KEY, listenerA, metricsA);
        PeerLinks b = start(B, 1, KEY, listenerB, metricsB);
        a.setPeers(Map.of(B, address(b)));
        a.send(B, HELLO);
        listenerA.expectChange(B, 1, true);

        a.setPeers(Map.of());

        listenerA.expectChange(B, 1, false);
        listenerB.expectChange(A, 1, true);
        listenerB.expectChange(A, 1, false);
    }

    private PeerLinks start(
            InstanceId id, long incarnation, String key, RecordingListener listener, MetricRegistry metrics)
            throws Exception {
        PeerLinks links = PeerLinks.start(member(id, incarnation), ANY_PORT, key, listener, metrics);
        started.add(links);
        return links;
    }

    private static Member member(InstanceId id, long incarnation) {
        return Member.of(id, incarnation, DataCentreId.of("leith-a"), false);
    }

    private static HostPort address(PeerLinks links) {
        InetSocketAddress bound = links.boundAddress();
        return HostPort.of("127.0.0.1", bound.getPort());
    }

    private static long count(MetricRegistry metrics, String name) {
        return metrics.counter(name).getCount();
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "the condition was not met in time");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }
}
