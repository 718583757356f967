package org.marjoramswitch.kernel.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes one MessagePack array of at most 15 fields and omits trailing fields that have their default. The array's
 * header is the first byte and is filled in at the end, when the number of fields is known.
 */
final class FieldWriter {
    static final int MAX_FIELDS = 15;

    private static final int BUFFER_BYTES = 512;
    private static final int FIXED_ARRAY = 0x90;

    private final MessageBufferPacker packer = new MessagePack.PackerConfig()
            .withBufferSize(BUFFER_BYTES)
            .withSmallStringOptimizationThreshold(BUFFER_BYTES)
            .newBufferPacker();
    private long startBytes;
    private int fields;
    private int requiredFields;
    private int requiredBytes;

    /** Starts a new array. */
    FieldWriter begin() {
        packer.clear();
        startBytes = packer.getTotalWrittenBytes();
        putArray(0);
        fields = 0;
        requiredFields = 0;
        requiredBytes = 1;
        return this;
    }

    /** Writes a field that is never omitted. */
    FieldWriter field(long value) {
        putLong(value);
        return requireField();
    }

    /** Writes a field that is omitted if it and all fields after it have their defaults. */
    FieldWriter field(long value, long defaultValue) {
        putLong(value);
        if (value == defaultValue) {
            fields++;
            return this;
        }
        return requireField();
    }

    /** Writes a name; one that peers would reject is shortened, see {@link WireNames}. */
    FieldWriter text(String text) {
        putName(text);
        return requireField();
    }

    /** Writes a text that is omitted if it and all fields after it have their defaults. */
    FieldWriter text(String text, String defaultText) {
        putName(text);
        if (text.equals(defaultText)) {
            fields++;
            return this;
        }
        return requireField();
    }

    /** Starts a list field of {@code items} items, which the put methods write. */
    FieldWriter list(int items) {
        putArray(items);
        return requireField();
    }

    /** Starts an item of the current list that is an array of fields. */
    FieldWriter item(int itemFields) {
        putArray(itemFields);
        return this;
    }

    FieldWriter put(long value) {
        putLong(value);
        return this;
    }

    /** Writes a name; see {@link #text(String)}. */
    FieldWriter put(String name) {
        putName(name);
        return this;
    }

    /** Ends a list field: the values put since its start become part of it. */
    FieldWriter endList() {
        requiredBytes = writtenBytes();
        return this;
    }

    void putLong(long value) {
        try {
            packer.packLong(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Puts a name; see {@link #text(String)}. */
    void putName(String name) {
        putText(WireNames.shortened(name));
    }

    /** Puts a text whose length is limited only by the frame. */
    void putText(String text) {
        try {
            packer.packString(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void putArray(int items) {
        try {
            packer.packArrayHeader(items);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the array's bytes. */
    byte[] end() {
        byte[] bytes = Arrays.copyOf(packer.toByteArray(), requiredBytes);
        bytes[0] = (byte) (FIXED_ARRAY | requiredFields);
        return bytes;
    }

    private FieldWriter requireField() {
        fields++;
        requiredFields = fields;
        requiredBytes = writtenBytes();
        return this;
    }

    private int writtenBytes() {
        return (int) (packer.getTotalWrittenBytes() - startBytes);
    }
}
