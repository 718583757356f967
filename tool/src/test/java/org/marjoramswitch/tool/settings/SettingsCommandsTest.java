package org.marjoramswitch.tool.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramswitch.testkit.platform.KeyValueGateway;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.Main;

class SettingsCommandsTest {
    private static final String DOCUMENT = "quais/customers";

    private final KeyValueGateway gateway = KeyValueGateway.start();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    Path directory;

    @AfterEach
    void stop() {
        gateway.close();
    }

    private ExitCode run(String command, String... arguments) {
        out.reset();
        err.reset();
        List<String> line =
                new ArrayList<>(List.of("settings", command, "--platform", gateway.host() + ":" + gateway.port()));
        line.addAll(List.of(arguments));
        Console console = Console.of(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        return Main.run(console, line.toArray(new String[0]));
    }

    private String printed() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String file(String json) throws Exception {
        Path file = Files.createTempFile(directory, "document", ".json");
        Files.writeString(file, json);
        return file.toString();
    }

    @Test
    void writesChangesAndReadsADocument() throws Exception {
        assertEquals(ExitCode.OK, run("put", DOCUMENT, file("{\"defaults\": {\"weight\": 1}}")));
        assertEquals(ExitCode.OK, run("get", DOCUMENT));
        String changed = file(printed().replace("\"weight\" : 1", "\"weight\" : 2"));
        assertEquals(ExitCode.OK, run("diff", DOCUMENT, changed));
        assertEquals("~ /defaults/weight 1 -> 2\n", printed());
        assertEquals(ExitCode.OK, run("put", DOCUMENT, changed));
        assertEquals(ExitCode.OK, run("list"));
        assertTrue(printed().startsWith("document=quais/customers revision="), printed());
        assertEquals(ExitCode.OK, run("history", DOCUMENT));
        assertEquals(2, printed().lines().count());
    }

    // An operator puts a file that was read before another operator's change. Accepting it would silently revert that
    // change.
    @Test
    void rejectsAFileOfAnOldVersion() throws Exception {
        run("put", DOCUMENT, file("{\"defaults\": {\"weight\": 1}}"));
        run("get", DOCUMENT);
        String old = file(printed());
        assertEquals(ExitCode.OK, run("put", DOCUMENT, old));
        assertEquals(ExitCode.CONFLICT, run("put", DOCUMENT, old));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("error=SETTINGS_WRITE_LOST"));
        assertEquals(ExitCode.OK, run("put", "--replace", DOCUMENT, old));
    }

    @Test
    void rejectsDocumentsThatTheAcceptorsWouldReject() throws Exception {
        String faulty = file("{\"defaults\": {\"weight\": -1}, \"customers\": {\"a\": {}}}");
        assertEquals(ExitCode.INVALID, run("check", "--alone", DOCUMENT, faulty));
        assertEquals(ExitCode.INVALID, run("put", DOCUMENT, faulty));
        String faults = err.toString(StandardCharsets.UTF_8);
        assertEquals(2, faults.lines().count(), faults);
        assertTrue(faults.contains("document=quais/customers pointer=/defaults/weight"), faults);
        assertEquals(ExitCode.INVALID, run("get", DOCUMENT));
    }

    @Test
    void returnsAnExitCodeForEachKindOfFailure() throws Exception {
        assertEquals(ExitCode.USAGE, run("get", "no-team"));
        assertEquals(ExitCode.USAGE, run("put", DOCUMENT));
        assertEquals(
                ExitCode.INVALID,
                run("put", DOCUMENT, directory.resolve("absent").toString()));
        gateway.refuseConnections();
        assertEquals(ExitCode.UNAVAILABLE, run("get", DOCUMENT));
    }
}
