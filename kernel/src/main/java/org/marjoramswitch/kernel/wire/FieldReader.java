package org.marjoramswitch.kernel.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageTypeException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads arrays of fields. A missing trailing field gets its default, and fields beyond the known ones are skipped.
 * Lengths are checked against the remaining bytes before anything is allocated.
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

    /** Runs one reading step and converts each of its failures to a {@link WireException}. */
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

    /** Enters an array of fields; returns the argument for {@link #leave}. */
    int enter() throws IOException {
        int outer = fieldsLeft;
        fieldsLeft = unpacker.unpackArrayHeader();
        if (fieldsLeft > bytesLeft()) {
            throw new WireException(WireFault.TRUNCATED);
        }
        return outer;
    }

    /** Leaves an array, skipping the fields that this version does not know. */
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
        consumeField();
        return unpacker.unpackLong();
    }

    long field(long defaultValue) throws IOException {
        return hasField() ? field() : defaultValue;
    }

    int intField() throws IOException {
        return toInt(field());
    }

    int intField(int defaultValue) throws IOException {
        return toInt(field(defaultValue));
    }

    String text() throws IOException {
        consumeField();
        return readText(WireLimits.MAX_NAME_BYTES);
    }

    /** Reads a text whose length is limited only by the frame. */
    String longText() throws IOException {
        consumeField();
        return readText(WireLimits.MAX_FRAME_BYTES);
    }

    /** Enters a list field and returns its number of items, 0 if it is absent. The item methods read the items. */
    int list() throws IOException {
        if (!hasField()) {
            return 0;
        }
        consumeField();
        int items = unpacker.unpackArrayHeader();
        if (items > WireLimits.MAX_LIST_ITEMS) {
            throw new WireException(WireFault.TOO_LARGE);
        }
        if (items > bytesLeft()) {
            throw new WireException(WireFault.TRUNCATED);
        }
        return items;
    }

    /** Enters a list field of pairs; returns the number of pairs. */
    int pairs() throws IOException {
        int items = list();
        if (items % 2 != 0) {
            throw new WireException(WireFault.WRONG_TYPE);
        }
        return items / 2;
    }

    /** Reads a list item that is a text of at most {@code maxBytes} bytes. */
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

    private void consumeField() throws WireException {
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

    /** One reading step; see {@link #guarded}. */
    interface Step<T> {
        T run() throws IOException;
    }
}
