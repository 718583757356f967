package org.marjoramswitch.kernel.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageTypeException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads arrays of fields: a field that is missing at the end gets its default, fields beyond the known ones are
 * skipped. Lengths are compared with the bytes that are left before anything is allocated.
 */
final class FieldReader {
    private final MessageUnpacker unpacker;
    private final int totalBytes;
    private int fieldsLeft;

    private FieldReader(MessageUnpacker unpacker, int totalBytes) {
        this.unpacker = unpacker;
        this.totalBytes = totalBytes;
    }

    static FieldReader of(byte[] bytes, int offset, int lengthBytes) {
        return new FieldReader(MessagePack.newDefaultUnpacker(bytes, offset, lengthBytes), lengthBytes);
    }

    /** Runs one reading step and turns every way in which it can fail into a {@link WireException}. */
    static <T> T guarded(Step<T> step) throws WireException {
        try {
            return step.run();
        } catch (WireException e) {
            throw e;
        } catch (MessageTypeException e) {
            throw new WireException(WireFault.WRONG_TYPE);
        } catch (MessagePackException | IOException e) {
            throw new WireException(WireFault.TRUNCATED);
        }
    }

    boolean hasBytes() {
        return bytesLeft() > 0;
    }

    /** Enters an array of fields; returns what {@link #leave} needs. */
    int enter() throws IOException {
        int outer = fieldsLeft;
        fieldsLeft = unpacker.unpackArrayHeader();
        if (fieldsLeft > bytesLeft()) {
            throw new WireException(WireFault.TRUNCATED);
        }
        return outer;
    }

    /** Skips the fields of the array that this version does not know. */
    void leave(int outer) throws IOException {
        while (fieldsLeft > 0) {
            fieldsLeft--;
            unpacker.skipValue();
        }
        fieldsLeft = outer;
    }

    boolean hasField() {
        return fieldsLeft > 0;
    }

    long field() throws IOException {
        take();
        return unpacker.unpackLong();
    }

    long field(long whenMissing) throws IOException {
        return hasField() ? field() : whenMissing;
    }

    int intField() throws IOException {
        return toInt(field());
    }

    int intField(int whenMissing) throws IOException {
        return toInt(field(whenMissing));
    }

    String text() throws IOException {
        take();
        return readText(WireLimits.MAX_NAME_BYTES);
    }

    /** A text that may be as long as the frame. */
    String longText() throws IOException {
        take();
        return readText(WireLimits.MAX_FRAME_BYTES);
    }

    /** Enters a field that is a list; an absent one is empty. The items are read by the item methods. */
    int list() throws IOException {
        if (!hasField()) {
            return 0;
        }
        take();
        int items = unpacker.unpackArrayHeader();
        if (items > WireLimits.MAX_LIST_ITEMS) {
            throw new WireException(WireFault.TOO_LARGE);
        }
        if (items > bytesLeft()) {
            throw new WireException(WireFault.TRUNCATED);
        }
        return items;
    }

    /** Enters a field that is a list of pairs; returns how many pairs there are. */
    int pairs() throws IOException {
        int items = list();
        if (items % 2 != 0) {
            throw new WireException(WireFault.WRONG_TYPE);
        }
        return items / 2;
    }

    /** One item of a list that is a text, as long as the bytes allow. */
    String itemText(int maxBytes) throws IOException {
        return readText(maxBytes);
    }

    long itemLong() throws IOException {
        return unpacker.unpackLong();
    }

    int itemInt() throws IOException {
        return toInt(unpacker.unpackLong());
    }

    private String readText(int maxBytes) throws IOException {
        int lengthBytes = unpacker.unpackRawStringHeader();
        if (lengthBytes > maxBytes) {
            throw new WireException(WireFault.TOO_LARGE);
        }
        if (lengthBytes > bytesLeft()) {
            throw new WireException(WireFault.TRUNCATED);
        }
        return new String(unpacker.readPayload(lengthBytes), StandardCharsets.UTF_8);
    }

    private void take() throws WireException {
        if (fieldsLeft <= 0) {
            throw new WireException(WireFault.FIELD_MISSING);
        }
        fieldsLeft--;
    }

    private long bytesLeft() {
        return totalBytes - unpacker.getTotalReadBytes();
    }

    private static int toInt(long value) throws WireException {
        if (value != (int) value) {
            throw new WireException(WireFault.WRONG_TYPE);
        }
        return (int) value;
    }

    /** One reading step. */
    interface Step<T> {
        T run() throws IOException;
    }
}
