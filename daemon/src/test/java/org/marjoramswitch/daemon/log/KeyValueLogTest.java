package org.marjoramswitch.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class KeyValueLogTest {
    @Test
    void plainValuesAreNotQuoted() {
        assertEquals(
                "event=started port=8080 host=127.0.0.1",
                KeyValueLog.line("started", "port", 8080, "host", "127.0.0.1"));
    }

    @Test
    void valuesThatWouldBreakParsingAreQuoted() {
        assertEquals(
                "event=e a=\"x y\" b=\"k=v\" c=\"\" d=\"q\\\"\\\\\" f=\"1\\n2\\u0001\"",
                KeyValueLog.line("e", "a", "x y", "b", "k=v", "c", "", "d", "q\"\\", "f", "1\n2\u0001"));
    }
}
