package org.marjoramswitch.kernel.wire;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.marjoramswitch.kernel.message.PeerMessage;

/**
 * Encodes the messages that one instance sends over one link.
 *
 * <p>A message is a MessagePack array of its type number and its fields. Names of customers, targets, pools and cells
 * are numbered per link: a definition precedes the first message that uses the name, and from then on the name takes
 * one or two bytes. Sequences and charges are delta-encoded per cell. A demand message then takes about 4 bytes, a
 * grant 8 to 10, and a progress or end message 6 to 8.
 *
 * <p>Definitions are separate from messages because an older peer skips a message of an unknown type completely. If a
 * name were defined inside the message, the peer would miss the definition and attribute later messages to the wrong
 * customer. A separate definition that carries its id is never skipped together with the message that required it.
 *
 * <p>The encoder's state belongs to one connection and one direction: a new connection needs a new encoder here and a
 * new {@link LinkDecoder} at the peer, and every encoded message must be sent, in order. Not thread-safe.
 */
public final class LinkEncoder {
    /** The type number of a name definition. */
    static final int DEFINITION = 0;

    private final MessageWriter writer = new MessageWriter();

    private LinkEncoder() {}

    public static LinkEncoder create() {
        return new LinkEncoder();
    }

    /**
     * Encodes a message, preceded by the definitions that it requires. A message with a longer list than peers accept
     * becomes several, or is empty if it cannot be divided.
     */
    public byte[] encode(PeerMessage message) {
        List<PeerMessage> parts = MessageSplitter.split(message);
        if (parts.size() == 1) {
            return encodePart(parts.get(0));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        parts.forEach(part -> bytes.writeBytes(encodePart(part)));
        return bytes.toByteArray();
    }

    private byte[] encodePart(PeerMessage message) {
        MessageType type = MessageType.of(message);
        MessageCodec.write(writer.begin(type), type, message);
        return writer.end();
    }
}
