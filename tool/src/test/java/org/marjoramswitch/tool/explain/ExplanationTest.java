package org.marjoramswitch.tool.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.log.KeyValueLog;

class ExplanationTest {
    private final List<LogLine> lines = new ArrayList<>();

    private void log(String file, int second, String event, Object... keyValues) {
        String head = "time=2026-01-02T03:04:0" + second + ".000Z level=INFO source=Decision ";
        lines.add(LogLine.parse(file, head + KeyValueLog.line(event, keyValues)));
    }

    private void logGrant(int sequence, String customer) {
        log(
                "arbiter.log",
                1,
                "grant",
                "cell",
                "atelier-llm/0",
                "sequence",
                sequence,
                "customer",
                customer,
                "entry",
                "entry-1",
                "target",
                "engine-3",
                "reason",
                "least_counter",
                "aheadTokens",
                12,
                "runnerUp",
                "quai-sud",
                "targetInFlight",
                5);
    }

    private void logDispatch(int request, int sequence) {
        log(
                "entry.log",
                2,
                "dispatch",
                "request",
                request,
                "customer",
                "quai-nord",
                "cell",
                "atelier-llm/0",
                "target",
                "engine-3",
                "attempt",
                1,
                "sequence",
                sequence,
                "reason",
                "grant",
                "prefixHeld",
                true,
                "waitedMs",
                37);
    }

    @Test
    void joinsTheEntrysLinesWithTheArbitersReason() {
        logDispatch(7, 21);
        log(
                "entry.log",
                3,
                "request_ended",
                "requestId",
                7,
                "customer",
                "quai-nord",
                "status",
                502,
                "outcome",
                "REFUSED",
                "error",
                "TARGET_BROKE",
                "run",
                "unknown",
                "waitMs",
                40,
                "totalMs",
                900,
                "bytes",
                180);
        logGrant(21, "quai-nord");
        Approvals.verify(Explanation.of("7", lines).stream()
                .map(Explanation.Step::toString)
                .collect(Collectors.joining("\n")));
    }

    @Test
    void excludesOtherRequestsAndTheirGrants() {
        logDispatch(7, 21);
        logDispatch(8, 22);
        logGrant(22, "quai-nord");
        logGrant(21, "another");
        assertEquals(1, Explanation.of("7", lines).size());
        assertTrue(Explanation.of("9", lines).isEmpty());
    }

    private void logPlacement(String event, int ask, String customer) {
        log(
                "arbiter.log",
                1,
                event,
                "cell",
                "atelier-llm/0",
                "entry",
                "entry-1",
                "ask",
                ask,
                "customer",
                customer,
                "target",
                "engine-3",
                "reason",
                "in_time",
                "waitedMs",
                120,
                "objectiveLeftMs",
                -20,
                "promptTokens",
                9_000,
                "uncachedTokens",
                4_000,
                "fetchedTokens",
                3_000,
                "fetchFrom",
                "engine-5",
                "tokensAhead",
                5_000,
                "expectedMs",
                60,
                "targetInFlight",
                7,
                "waitingInTime",
                57,
                "waitingLate",
                95,
                "targets",
                8);
    }

    private void logEnd(String file, int request, String caller, String error, String detail) {
        log(
                file,
                3,
                "request_ended",
                "requestId",
                request,
                "caller",
                caller,
                "customer",
                "quai-nord",
                "status",
                503,
                "outcome",
                "REFUSED",
                "error",
                error,
                "run",
                "not-run",
                "detail",
                detail,
                "waitMs",
                120,
                "totalMs",
                120,
                "bytes",
                180);
    }

    // The caller knows only its own id. The request was never sent to a target, so only the placement id joins the
    // logs.
    @Test
    void explainsARejectionByTheCallersId() {
        logEnd("entry.log", 7, "9c41d07be2a35f68", "NO_TARGET_IN_TIME", "atelier-llm/0#21");
        logEnd("other.log", 7, "another-id", "NO_TARGET_IN_TIME", "atelier-llm/0#22");
        logPlacement("not_placed", 21, "quai-nord");
        logPlacement("not_placed", 22, "quai-nord");
        logPlacement("not_placed", 21, "quai-sud");
        Approvals.verify(Explanation.of("9c41d07be2a35f68", lines).stream()
                .map(Explanation.Step::toString)
                .collect(Collectors.joining("\n")));
    }

    @Test
    void explainsAPlacementByTheCallersId() {
        logDispatch(7, 21);
        logEnd("entry.log", 7, "9c41d07be2a35f68", "-", "-");
        logPlacement("place", 21, "quai-nord");
        Approvals.verify(Explanation.of("9c41d07be2a35f68", lines).stream()
                .map(Explanation.Step::toString)
                .collect(Collectors.joining("\n")));
    }

    // An instance that restarts after a crash numbers its requests and placement requests from the beginning, and
    // another entry's placement request for the same customer may have the same id. Neither may appear in the
    // explanation.
    @Test
    void distinguishesIncarnationsAndOtherEntries() {
        log("entry.log", 0, "instance_started", "instance", "entry-1");
        logDispatch(7, 21);
        logEnd("entry.log", 7, "9c41d07be2a35f68", "-", "-");
        log("entry.log", 5, "instance_started", "instance", "entry-1");
        logEnd("entry.log", 7, "of-the-next-life", "-", "-");
        logPlacement("place", 21, "quai-nord");
        lines.add(
                LogLine.parse(
                        "arbiter.log",
                        "time=2026-01-02T03:04:01.900Z event=place cell=atelier-llm/0 entry=entry-2 ask=21 customer=quai-nord"));
        lines.add(
                LogLine.parse(
                        "arbiter.log",
                        "time=2026-01-02T03:04:09.000Z event=place cell=atelier-llm/0 entry=entry-1 ask=21 customer=quai-nord"));
        List<String> times = Explanation.of("9c41d07be2a35f68", lines).stream()
                .map(Explanation.Step::time)
                .toList();
        assertEquals(
                List.of("2026-01-02T03:04:01.000Z", "2026-01-02T03:04:02.000Z", "2026-01-02T03:04:03.000Z"), times);
    }

    @Test
    void parsesQuotedValues() {
        String text = KeyValueLog.line("fault", "detail", "a \"b\" = c\nd", "number", 3);
        LogLine line = LogLine.parse("file", "level=INFO " + text);
        assertEquals("a \"b\" = c\nd", line.get("detail"));
        assertEquals("3", line.get("number"));
    }
}
