package org.marjoramswitch.daemon.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * One side of the handshake that opens a link: mutual challenge-response authentication with the fleet key.
 *
 * <p>The initiator sends a nonce, the acceptor replies with its own nonce and its proof, the initiator sends its proof,
 * and the acceptor accepts. A proof is an HMAC-SHA256 under the fleet key over the prover's role, both instances with
 * their incarnations, both nonces and the protocol version.
 *
 * <p>Reflection attacks: to impersonate instance B to A, an attacker without the key needs a proof made for (A, B) in
 * B's role. A only makes proofs in A's role, with A's id in A's position, so no proof that A sends on a second
 * connection is valid here. A also rejects a peer that presents A's own id. Fresh nonces from both sides prevent the
 * replay of a recorded handshake.
 *
 * <p>Security limits: the handshake authenticates both ends of the connection. It does not encrypt or sign the frames
 * that follow, so the network between the instances must be trusted by the operators. The key should be long and
 * random, because every client that connects receives a proof against which it can test guessed keys offline.
 */
final class Handshake {
    static final int VERSION = 1;

    private static final int NONCE_BYTES = 16;
    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final Member self;
    private final String fleetKey;
    private final @Nullable InstanceId expected;
    private final byte[] ownNonce = new byte[NONCE_BYTES];
    private byte[] peerNonce = new byte[0];
    private InstanceId peer = InstanceId.of("");
    private long peerIncarnation;
    private int version = VERSION;
    private State state;

    private Handshake(Member self, String fleetKey, @Nullable InstanceId expected) {
        this.self = self;
        this.fleetKey = fleetKey;
        this.expected = expected;
        this.state = expected == null ? State.AWAIT_HELLO : State.AWAIT_CHALLENGE;
        RANDOM.nextBytes(ownNonce);
    }

    /** Creates the side that opened the connection; {@code expected} is the instance it intends to reach. */
    static Handshake initiate(Member self, String fleetKey, InstanceId expected) {
        return new Handshake(self, fleetKey, expected);
    }

    /** Creates the side that accepted the connection. */
    static Handshake accept(Member self, String fleetKey) {
        return new Handshake(self, fleetKey, null);
    }

    boolean isInitiator() {
        return expected != null;
    }

    /** Whether this side, as the initiator, has sent its proof and awaits the acceptor's {@code Accepted}. */
    boolean hasSentProof() {
        return state == State.AWAIT_ACCEPTED;
    }

    InstanceId peer() {
        return peer;
    }

    long peerIncarnation() {
        return peerIncarnation;
    }

    /** Identifies the link; equal at both ends and different for every other link. */
    long linkId() {
        return ByteBuffer.wrap(mac("link")).getLong();
    }

    byte[] hello() {
        return HandshakeCodec.encode(
                new HandshakeMessage.Hello(VERSION, self.id().name(), self.incarnation(), ownNonce));
    }

    /** Encodes the initiator's proof; {@code lastLinkId} identifies the last link to the peer that was up here. */
    byte[] proof(long lastLinkId) {
        state = State.AWAIT_ACCEPTED;
        return HandshakeCodec.encode(new HandshakeMessage.Proof(lastLinkId, mac("initiator:" + lastLinkId)));
    }

    byte[] accepted() {
        state = State.DONE;
        return HandshakeCodec.encode(new HandshakeMessage.Accepted());
    }

    /** Processes the peer's next message. */
    HandshakeStep onMessage(byte[] bytes) {
        HandshakeMessage message = HandshakeCodec.decode(bytes);
        if (state == State.AWAIT_HELLO && message instanceof HandshakeMessage.Hello hello) {
            return onHello(hello);
        }
        if (state == State.AWAIT_CHALLENGE && message instanceof HandshakeMessage.Challenge challenge) {
            return onChallenge(challenge);
        }
        if (state == State.AWAIT_PROOF && message instanceof HandshakeMessage.Proof proof) {
            return onProof(proof);
        }
        if (state == State.AWAIT_ACCEPTED && message instanceof HandshakeMessage.Accepted) {
            state = State.DONE;
            return new HandshakeStep.Complete();
        }
        return new HandshakeStep.Failed(ErrorType.PEER_FRAME_INVALID, "unexpected handshake message");
    }

    private HandshakeStep onHello(HandshakeMessage.Hello hello) {
        setPeer(hello.version(), hello.instance(), hello.incarnation(), hello.nonce());
        if (peer.equals(self.id())) {
            return new HandshakeStep.Failed(ErrorType.PEER_UNAUTHENTICATED, "peer presents this instance's own id");
        }
        if (peerNonce.length != NONCE_BYTES || hello.version() < 1) {
            return new HandshakeStep.Failed(
                    ErrorType.PEER_FRAME_INVALID, "invalid nonce length or protocol version in hello");
        }
        state = State.AWAIT_PROOF;
        return new HandshakeStep.Reply(HandshakeCodec.encode(new HandshakeMessage.Challenge(
                version, self.id().name(), self.incarnation(), ownNonce, mac("acceptor"))));
    }

    private HandshakeStep onChallenge(HandshakeMessage.Challenge challenge) {
        setPeer(challenge.version(), challenge.instance(), challenge.incarnation(), challenge.nonce());
        if (!peer.equals(expected)) {
            return new HandshakeStep.Failed(ErrorType.PEER_UNREACHABLE, "expected " + expected + " but found " + peer);
        }
        if (!MessageDigest.isEqual(challenge.proof(), mac("acceptor"))) {
            return new HandshakeStep.Failed(ErrorType.PEER_UNAUTHENTICATED, peer.name());
        }
        return new HandshakeStep.PeerAuthenticated(0);
    }

    private HandshakeStep onProof(HandshakeMessage.Proof proof) {
        if (!MessageDigest.isEqual(proof.proof(), mac("initiator:" + proof.lastLinkId()))) {
            return new HandshakeStep.Failed(ErrorType.PEER_UNAUTHENTICATED, peer.name());
        }
        return new HandshakeStep.PeerAuthenticated(proof.lastLinkId());
    }

    private void setPeer(int peerVersion, String instance, long incarnation, byte[] nonce) {
        version = Math.min(VERSION, peerVersion);
        peer = InstanceId.of(instance);
        peerIncarnation = incarnation;
        peerNonce = nonce;
    }

    private byte[] mac(String label) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(fleetKey.getBytes(StandardCharsets.UTF_8), ALGORITHM));
            return mac.doFinal(transcript(label));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Encodes what both sides exchanged, the initiator's part first; different inputs give different bytes. */
    private byte[] transcript(String label) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString("marjoramswitch-peer").packInt(version).packString(label);
            if (isInitiator()) {
                packSide(packer, self.id(), self.incarnation(), ownNonce);
                packSide(packer, peer, peerIncarnation, peerNonce);
            } else {
                packSide(packer, peer, peerIncarnation, peerNonce);
                packSide(packer, self.id(), self.incarnation(), ownNonce);
            }
            return packer.toByteArray();
        }
    }

    private static void packSide(MessageBufferPacker packer, InstanceId instance, long incarnation, byte[] nonce)
            throws IOException {
        packer.packString(instance.name()).packLong(incarnation);
        packer.packBinaryHeader(nonce.length).writePayload(nonce);
    }

    private enum State {
        AWAIT_HELLO,
        AWAIT_CHALLENGE,
        AWAIT_PROOF,
        AWAIT_ACCEPTED,
        DONE
    }
}
