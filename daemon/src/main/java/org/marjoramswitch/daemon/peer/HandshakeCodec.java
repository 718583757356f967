package org.marjoramswitch.daemon.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.peer.HandshakeMessage.Accepted;
import org.marjoramswitch.daemon.peer.HandshakeMessage.Challenge;
import org.marjoramswitch.daemon.peer.HandshakeMessage.Hello;
import org.marjoramswitch.daemon.peer.HandshakeMessage.Proof;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes handshake messages in MessagePack as an array of the message's number and its fields. */
final class HandshakeCodec {
    /** Maximum size of a handshake message; each message is sent in its own frame. */
    static final int MAX_BYTES = 1_024;

    private static final int HELLO = 1;
    private static final int CHALLENGE = 2;
    private static final int PROOF = 3;
    private static final int ACCEPTED = 4;

    private HandshakeCodec() {}

    static byte[] encode(HandshakeMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            write(packer, message);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns null if the bytes are not a valid message. */
    static @Nullable HandshakeMessage decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            return null;
        }
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return read(unpacker);
        } catch (MessagePackException | IOException e) {
            return null;
        }
    }

    private static void write(MessageBufferPacker packer, HandshakeMessage message) throws IOException {
        if (message instanceof Hello hello) {
            packer.packArrayHeader(5).packInt(HELLO).packInt(hello.version());
            packer.packString(hello.instance()).packLong(hello.incarnation());
            packBytes(packer, hello.nonce());
        } else if (message instanceof Challenge challenge) {
            packer.packArrayHeader(6).packInt(CHALLENGE).packInt(challenge.version());
            packer.packString(challenge.instance()).packLong(challenge.incarnation());
            packBytes(packer, challenge.nonce());
            packBytes(packer, challenge.proof());
        } else if (message instanceof Proof proof) {
            packer.packArrayHeader(3).packInt(PROOF).packLong(proof.lastLinkId());
            packBytes(packer, proof.proof());
        } else {
            packer.packArrayHeader(1).packInt(ACCEPTED);
        }
    }

    private static @Nullable HandshakeMessage read(MessageUnpacker unpacker) throws IOException {
        unpacker.unpackArrayHeader();
        return switch (unpacker.unpackInt()) {
            case HELLO ->
                new Hello(unpacker.unpackInt(), unpacker.unpackString(), unpacker.unpackLong(), unpackBytes(unpacker));
            case CHALLENGE ->
                new Challenge(
                        unpacker.unpackInt(),
                        unpacker.unpackString(),
                        unpacker.unpackLong(),
                        unpackBytes(unpacker),
                        unpackBytes(unpacker));
            case PROOF -> new Proof(unpacker.unpackLong(), unpackBytes(unpacker));
            case ACCEPTED -> new Accepted();
            default -> null;
        };
    }

    private static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
        int lengthBytes = unpacker.unpackBinaryHeader();
        if (lengthBytes > MAX_BYTES) {
            throw new IOException("field is longer than the maximum handshake message");
        }
        return unpacker.readPayload(lengthBytes);
    }
}
