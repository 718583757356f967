package org.marjoramswitch.tool.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Parses a server-sent event stream and passes on the payload of each {@code data} line; ignores all other lines. */
final class EventStreamReader {
    private static final String DATA = "data:";

    private final Consumer<String> payloads;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    EventStreamReader(Consumer<String> payloads) {
        this.payloads = payloads;
    }

    void append(byte[] bytes) {
        for (byte next : bytes) {
            if (next == '\n') {
                endLine();
            } else if (next != '\r') {
                line.write(next);
            }
        }
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.startsWith(DATA)) {
            payloads.accept(text.substring(DATA.length()).strip());
        }
    }
}
