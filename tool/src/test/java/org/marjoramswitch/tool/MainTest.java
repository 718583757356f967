package org.marjoramswitch.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String... args) {
        return Main.run(
                Console.of(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)),
                args);
    }

    @Test
    void showsTheCommandsAndTheExitCodes() {
        assertEquals(ExitCode.OK, run("help"));
        Approvals.verify(out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void showsHelpWithoutACommand() {
        assertEquals(ExitCode.OK, run());
        assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("usage: marjoramswitch"));
    }

    @Test
    void rejectsInvalidCommandLines() {
        assertEquals(ExitCode.USAGE, run("load"));
        assertEquals(ExitCode.USAGE, run("no-such-command"));
        assertEquals(ExitCode.USAGE, run("load", "--seconds", "ten", "scenario.json"));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("error=USAGE number=280"));
    }

    @Test
    void reportsAllFaultsOfAScenario(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("scenario.json");
        Files.writeString(file, """
                {"name": "faulty", "seed": 1, "instances": ["nowhere"], "seconds": 0, "maxRequests": 10,
                 "answerTimeoutMs": 1000, "maxAttempts": 1, "standInAnswers": true, "customers": [
                 {"customer": "a", "apiKey": "k", "model": "m", "ratePerSecond": 1, "concurrency": 1,
                  "streamingShare": 2, "urgentShare": 0, "promptTokens": {"median": 1, "sigma": 0, "max": 1},
                  "maxTokens": {"median": 0, "sigma": 0, "max": 1}, "service": null}]}
                """);
        assertEquals(ExitCode.INVALID, run("load", file.toString()));
        Approvals.verify(err.toString(StandardCharsets.UTF_8).replace(file.toString(), "FILE"));
    }

    @Test
    void readsTheCommittedScenarios() throws Exception {
        for (String site : new String[] {"thies", "leith"}) {
            String json = Files.readString(Path.of("..", "examples", site + ".json"));
            assertTrue(
                    org.marjoramswitch.tool.load.ScenarioReader.read(json)
                            instanceof org.marjoramswitch.tool.load.ScenarioReader.Result.Valid,
                    site);
        }
    }
}
