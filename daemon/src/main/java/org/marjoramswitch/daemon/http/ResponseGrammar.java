package org.marjoramswitch.daemon.http;

import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Checks the responses of one connection by the grammar of HTTP/1.1 (RFC 9112), whose bytes may arrive in any parts. Holds a
 * few bytes of a line only; the data of bodies is counted, not read. Lines may end with a line feed alone (section 2.2).
 */
final class ResponseGrammar {
    private static final int WINDOW_BYTES = 256;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int FIRST_FINAL_STATUS = 200;

    private final StatusLine statusLine = new StatusLine();
    private final BodyFields bodyFields = new BodyFields();
    private final FieldLine fieldLine = new FieldLine(bodyFields);
    private final ChunkLine chunkLine = new ChunkLine();
    private final EmptyLine emptyLine = new EmptyLine();

    /** A part of what is being received, in which lines are read. */
    private final byte[] window = new byte[WINDOW_BYTES];

    private Part part = Part.END;
    private Line line = emptyLine;
    private boolean afterCarriageReturn;
    private boolean mayHaveBody;
    private long remainingBytes;
    private boolean surplus;
    private @Nullable ResponseFault fault;

    /** The part of a response to which the next byte belongs. */
    private enum Part {
        STATUS_LINE(ResponseFault.STATUS_LINE),
        HEAD(ResponseFault.FIELD_LINE),
        BODY(null),
        BODY_TO_END_OF_INPUT(null),
        CHUNK_SIZE(ResponseFault.CHUNK),
        CHUNK_DATA(null),
        CHUNK_END(ResponseFault.CHUNK),
        TRAILERS(ResponseFault.FIELD_LINE),
        END(null);

        /** The fault of a byte that may not follow; null for parts that consist of any bytes. */
        private final @Nullable ResponseFault fault;

        Part(@Nullable ResponseFault fault) {
            this.fault = fault;
        }
    }

    /** Between the data of a chunk and the next size. */
    private static final class EmptyLine implements Line {
        @Override
        public int accept(byte[] bytes, int from, int to) {
            return from;
        }

        @Override
        public boolean end() {
            return true;
        }
    }

    /** A request is about to be sent, and its response is awaited. */
    void awaitHead(String method) {
        mayHaveBody = !method.equals("HEAD");
        surplus = false;
        beginStatusLine();
    }

    /** Whether the response has ended by its framing. */
    boolean hasEnded() {
        return part == Part.END;
    }

    /** Whether bytes have followed the end of the response. */
    boolean hasSurplus() {
        return surplus;
    }

    /** Whether the response has a body that ends with the connection. */
    boolean endsWithInput() {
        return part == Part.BODY_TO_END_OF_INPUT;
    }

    /** The first violation; null if there was none. */
    @Nullable
    ResponseFault fault() {
        return fault;
    }

    /** Checks the bytes of the buffer from an index to its position. */
    void accept(ByteBuffer buffer, int from) {
        int at = from;
        int end = buffer.position();
        while (at < end && fault == null) {
            at += part.fault == null ? acceptData(end - at) : acceptLines(buffer, at, end);
        }
    }

    /** Returns how many of the bytes belong to lines, up to the size of the window. */
    private int acceptLines(ByteBuffer buffer, int from, int end) {
        int count = Math.min(end - from, WINDOW_BYTES);
        buffer.get(from, window, 0, count);
        int at = 0;
        while (at < count && fault == null && part.fault != null) {
            at = afterCarriageReturn ? at : line.accept(window, at, count);
            if (at < count) {
                acceptLineEnd(window[at]);
                at++;
            }
        }
        return at;
    }

    /** Takes a byte that does not belong to the content of the line. */
    private void acceptLineEnd(byte value) {
        if (value == '\n') {
            endLine();
        } else if (!afterCarriageReturn && value == '\r') {
            afterCarriageReturn = true;
        } else {
            fault = part.fault;
        }
    }

    /** Returns how many of the bytes belong to the part. */
    private int acceptData(int available) {
        if (part == Part.END) {
            surplus = true;
        }
        if (part == Part.END || part == Part.BODY_TO_END_OF_INPUT) {
            return available;
        }
        int count = (int) Math.min(available, remainingBytes);
        remainingBytes -= count;
        if (remainingBytes == 0) {
            endData();
        }
        return count;
    }

    private void endData() {
        if (part == Part.CHUNK_DATA) {
            begin(Part.CHUNK_END, emptyLine);
        } else {
            part = Part.END;
        }
    }

    private void endLine() {
        if (!line.end()) {
            fault = part.fault;
            return;
        }
        switch (part) {
            case STATUS_LINE -> {
                bodyFields.beginHead();
                beginFieldLine(Part.HEAD);
            }
            case HEAD -> {
                bodyFields.endLine();
                if (fieldLine.isEmpty()) {
                    endHead();
                } else {
                    beginFieldLine(Part.HEAD);
                }
            }
            case TRAILERS -> {
                if (fieldLine.isEmpty()) {
                    part = Part.END;
                } else {
                    beginFieldLine(Part.TRAILERS);
                }
            }
            case CHUNK_SIZE -> {
                if (chunkLine.size() == 0) {
                    beginFieldLine(Part.TRAILERS);
                } else {
                    beginData(Part.CHUNK_DATA, chunkLine.size());
                }
            }
            case CHUNK_END -> beginChunk();
            case BODY, BODY_TO_END_OF_INPUT, CHUNK_DATA, END -> throw new IllegalStateException("no line in " + part);
        }
    }

    private void endHead() {
        int status = statusLine.status();
        if (!bodyFields.areValid()) {
            fault = ResponseFault.BODY_FIELDS;
        } else if (status < FIRST_FINAL_STATUS) {
            beginStatusLine();
        } else if (!mayHaveBody || status == NO_CONTENT || status == NOT_MODIFIED || bodyFields.length() == 0) {
            part = Part.END;
        } else if (bodyFields.isChunked()) {
            beginChunk();
        } else if (bodyFields.length() == BodyFields.NONE) {
            part = Part.BODY_TO_END_OF_INPUT;
        } else {
            beginData(Part.BODY, bodyFields.length());
        }
    }

    private void beginStatusLine() {
        statusLine.begin();
        begin(Part.STATUS_LINE, statusLine);
    }

    private void beginFieldLine(Part partOfFields) {
        fieldLine.begin();
        begin(partOfFields, fieldLine);
    }

    private void beginChunk() {
        chunkLine.begin();
        begin(Part.CHUNK_SIZE, chunkLine);
    }

    private void beginData(Part partOfData, long bytes) {
        part = partOfData;
        remainingBytes = bytes;
    }

    private void begin(Part next, Line first) {
        part = next;
        line = first;
        afterCarriageReturn = false;
    }
}
