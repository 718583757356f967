package org.marjoramswitch.kernel.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage;

/**
 * Decodes the output of a peer's {@link LinkEncoder}. Messages of unknown types are skipped and counted, unknown
 * trailing fields are ignored, and missing ones get their defaults, so that two versions interoperate during a rolling
 * upgrade. Any input ends in a typed result. Not thread-safe.
 */
public final class LinkDecoder {
    private final MessageReader reader = new MessageReader();
    private int skipped;

    private LinkDecoder() {}

    public static LinkDecoder create() {
        return new LinkDecoder();
    }

    /** Decodes the messages of one frame. */
    public DecodeResult decode(byte[] bytes) {
        return decode(bytes, 0, bytes.length);
    }

    /** Decodes the messages of one frame in a range of {@code bytes}. */
    public DecodeResult decode(byte[] bytes, int offset, int lengthBytes) {
        if (lengthBytes > WireLimits.MAX_FRAME_BYTES) {
            return new DecodeResult.Malformed(WireFault.TOO_LARGE);
        }
        try {
            FieldReader fields = FieldReader.of(bytes, offset, lengthBytes);
            reader.begin(fields);
            return FieldReader.guarded(() -> readAll(fields));
        } catch (WireException e) {
            return new DecodeResult.Malformed(e.fault());
        }
    }

    private DecodeResult readAll(FieldReader fields) throws IOException {
        List<PeerMessage> messages = new ArrayList<>();
        skipped = 0;
        while (fields.hasBytes()) {
            if (messages.size() >= WireLimits.MAX_FRAME_MESSAGES) {
                throw new WireException(WireFault.TOO_LARGE);
            }
            int outer = fields.enter();
            PeerMessage message = readOne(fields);
            fields.leave(outer);
            if (message != null) {
                messages.add(message);
            }
        }
        return new DecodeResult.Decoded(messages, skipped);
    }

    private @Nullable PeerMessage readOne(FieldReader fields) throws IOException {
        long number = fields.field();
        if (number == LinkEncoder.DEFINITION) {
            reader.define();
            return null;
        }
        MessageType type = MessageType.byNumber(number);
        PeerMessage message = type == null ? null : MessageCodec.read(reader, type);
        if (message == null) {
            skipped++;
        }
        return message;
    }
}
