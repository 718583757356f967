package org.marjoramswitch.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UnreadHeadParserTest {
    private static final String FIRST_LINE = "POST /a/ HTTP/1.1\r\n";

    /** Guards against a demand that is counted for no customer although its key was received. */
    @Test
    void findsAuthorizationAndLengths() {
        String text = FIRST_LINE + "Host: h\r\nAUTHORIZATION:  Bearer k \r\ncontent-length: 12\r\n\r\n";
        UnreadHead head = parse(text + "body of 12 b");
        assertNotNull(head);
        assertEquals("Bearer k", head.authorization());
        assertEquals(text.length(), head.headBytes());
        assertEquals(12, head.bodyBytes());
    }

    /** Guards against an estimate from another request's values, and against the memory of headers that nobody uses. */
    @Test
    void keepsTheFirstValuesOfTheNamedHeaders() {
        String rest = "X-SIZE: 5,6\r\nX-Size: 7\r\nX-Sizes: 8\r\nX-Other: 1\r\n\r\n";
        UnreadHead head = parse("POST /a/b?c HTTP/1.1\r\nHost: h:80\r\n" + rest);
        assertNotNull(head);
        assertEquals("/a/b?c", head.requestUri());
        assertEquals(Map.of("host", "h:80", "x-size", "5,6"), head.headers());
        for (String line : List.of("", "GET", "GET ", " ", "GET /a")) {
            UnreadHead odd = parse(line + "x\r\n\r\n");
            assertNotNull(odd);
            assertEquals(Map.of(), odd.headers());
        }
    }

    /** Guards against an accepting thread that a head with faults keeps from accepting anyone. */
    @Test
    void headsWithFaultsAreParsed() {
        Random random = new Random(5);
        String characters = " \r\n:/?\u0000Hhost:X-Size,Content-Length:-1\t\u00e9";
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder(i % 2 == 0 ? FIRST_LINE : "");
            for (int length = random.nextInt(60); length > 0; length--) {
                text.append(characters.charAt(random.nextInt(characters.length())));
            }
            UnreadHead head = parse(text + "\n\n");
            assertNotNull(head);
            assertTrue(head.headBytes() <= text.length() + 2);
        }
    }

    @Test
    void incompleteHeadIsNotParsed() {
        assertNull(parse(FIRST_LINE + "Host: h\r\n"));
        assertNull(parse(""));
    }

    /** Guards against a connection that is closed with a part of its request unread, since its length was misread. */
    @ParameterizedTest
    @CsvSource({
        "Content-Length: 5, 5",
        "X-Content-Length: 5, 0",
        "Content-Lengths: 5, 0",
        "Content-Length: +5, -1",
        "Content-Length: 99999999999999999999, -1",
        "Content-Length: , -1",
        "Transfer-Encoding: chunked, -1"
    })
    void lengthIsKnownOnlyIfItIsStatedOnceAsANumber(String header, long bodyBytes) {
        UnreadHead head = parse(FIRST_LINE + header + "\r\n\r\n");
        assertNotNull(head);
        assertEquals(bodyBytes, head.bodyBytes());
        assertNull(head.authorization());
    }

    @Test
    void lengthThatIsStatedTwiceIsUnknown() {
        UnreadHead head = parse(FIRST_LINE + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n");
        assertNotNull(head);
        assertEquals(UnreadHead.UNKNOWN, head.bodyBytes());
        UnreadHead chunked = parse(FIRST_LINE + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n");
        assertNotNull(chunked);
        assertEquals(UnreadHead.UNKNOWN, chunked.bodyBytes());
    }

    private static @Nullable UnreadHead parse(String text) {
        return UnreadHeadParser.of(Set.of("x-size")).parse(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
