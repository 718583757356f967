package org.marjoramswitch.tool.explain;

import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Reconstructs the steps of one request from the logs of its entry instance and of the arbiters.
 *
 * <p>The entry's lines identify the request by the entry's request number, and the line of its end also by the caller's
 * id; either is accepted. Arbiters do not know requests: an arbiter grants slots to an entry and customer, or responds
 * to an entry's placement request. The lines of entry and arbiter are joined by the cell and the sequence number of the
 * grant or the placement id, which the entry logs when it assigns it to a request. Lines are therefore selected in two
 * passes: first those of the request, then the arbiters' lines with the same cell, number and customer.
 *
 * <p>Edge cases: request numbers and placement ids are unique only within one incarnation of an instance. Given a
 * caller's id, only lines of the incarnation that received the request are selected; given a number, lines of all
 * incarnations, and each step names its log. If the entry's log contains the entry's name, an arbiter's line must be
 * for that entry. If several arbiter lines remain, from different incarnations, the nearest in time is used.
 */
public final class Explanation {
    private static final Set<String> ARBITER_EVENTS = Set.of("grant", "place", "not_placed");

    private Explanation() {}

    /** One log line about the request, as a sentence. */
    public record Step(String time, String source, String text) {
        @Override
        public String toString() {
            return time + " " + source + ": " + text;
        }
    }

    /**
     * Returns the steps in the order of their times; empty if no line is about the request.
     *
     * @param id the entry's request number or the caller's id
     */
    public static List<Step> of(String id, List<LogLine> lines) {
        Set<LogLine> selected = new LinkedHashSet<>();
        for (EntryLine entryLine : linesOfRequest(id, lines)) {
            selected.add(entryLine.line());
            LogLine arbiterLine = arbiterLine(entryLine, lines);
            if (arbiterLine != null) {
                selected.add(arbiterLine);
            }
        }
        return selected.stream()
                .sorted(Comparator.comparing((LogLine line) -> line.get("time")))
                .map(line -> new Step(line.get("time"), line.source(), sentence(line)))
                .toList();
    }

    /**
     * A line of an entry's log that is about a request.
     *
     * @param entry the entry's name; empty if its log does not contain it
     * @param incarnation number of instance starts in the log before this line
     */
    private record EntryLine(LogLine line, String entry, int incarnation) {
        String request() {
            return line.source() + '#' + incarnation + '#' + line.request();
        }
    }

    private static List<EntryLine> linesOfRequest(String id, List<LogLine> lines) {
        List<EntryLine> all = withIncarnations(lines);
        Set<String> requestsOfCaller = new HashSet<>();
        all.stream()
                .filter(entryLine -> entryLine.line().get("caller").equals(id))
                .forEach(entryLine -> requestsOfCaller.add(entryLine.request()));
        return all.stream()
                .filter(entryLine ->
                        entryLine.line().request().equals(id) || requestsOfCaller.contains(entryLine.request()))
                .toList();
    }

    private static List<EntryLine> withIncarnations(List<LogLine> lines) {
        Map<String, Integer> incarnations = new HashMap<>();
        Map<String, String> names = new HashMap<>();
        List<EntryLine> all = new ArrayList<>();
        for (LogLine line : lines) {
            if (line.get("event").equals("instance_started")) {
                incarnations.merge(line.source(), 1, Integer::sum);
                names.put(line.source(), line.get("instance"));
            }
            if (!line.request().isEmpty()) {
                all.add(new EntryLine(
                        line, names.getOrDefault(line.source(), ""), incarnations.getOrDefault(line.source(), 0)));
            }
        }
        return all;
    }

    private static @Nullable LogLine arbiterLine(EntryLine entryLine, List<LogLine> lines) {
        String correlationKey = correlationKey(entryLine.line());
        Instant at = time(entryLine.line());
        return lines.stream()
                .filter(line -> ARBITER_EVENTS.contains(line.get("event"))
                        && correlationKey(line).equals(correlationKey))
                .filter(line -> entryLine.entry().isEmpty() || line.get("entry").equals(entryLine.entry()))
                .min(Comparator.comparing(
                        line -> Duration.between(time(line), at).abs()))
                .orElse(null);
    }

    private static Instant time(LogLine line) {
        try {
            return Instant.parse(line.get("time"));
        } catch (DateTimeParseException unreadable) {
            return Instant.EPOCH;
        }
    }

    /** Key that joins an entry's line to an arbiter's. The detail of NO_TARGET_IN_TIME holds cell and placement id. */
    private static String correlationKey(LogLine line) {
        String detail = line.get("detail");
        if (line.get("error").equals("NO_TARGET_IN_TIME") && detail.contains("#")) {
            return detail + '#' + line.get("customer");
        }
        String number = line.get("ask").isEmpty() ? line.get("sequence") : line.get("ask");
        return line.get("cell") + '#' + number + '#' + line.get("customer");
    }

    private static String sentence(LogLine line) {
        return switch (line.get("event")) {
            case "grant" -> granted(line);
            case "place" -> placed(line);
            case "not_placed" -> notPlaced(line);
            case "dispatch" -> dispatched(line);
            case "refuse" ->
                "refused: " + line.get("reason")
                        + (isZero(line, "retryAfterMs") ? "" : ", retry after " + line.get("retryAfterMs") + " ms");
            case "request_ended" -> ended(line);
            default -> plain(line);
        };
    }

    private static String granted(LogLine line) {
        String runnerUp = line.get("runnerUp");
        String others = runnerUp.isEmpty() || runnerUp.equals("none")
                ? "no other customer waited"
                : "the next would have been " + runnerUp;
        return "the arbiter of " + line.get("cell") + " granted " + line.get("target") + " to customer "
                + line.get("customer") + " at entry " + line.get("entry") + " because of " + line.get("reason")
                + " (" + line.get("aheadTokens") + " tokens ahead of the least); " + others + "; the target then ran "
                + line.get("targetInFlight");
    }

    private static String placed(LogLine line) {
        return "the arbiter of " + line.get("cell") + " placed it at " + line.get("target") + ", " + line.get("reason")
                + ", after " + line.get("waitedMs") + " ms with " + line.get("objectiveLeftMs")
                + " ms of its objective left; of its " + line.get("promptTokens") + " prompt tokens "
                + line.get("uncachedTokens") + " were not kept there" + fetched(line) + "; " + line.get("tokensAhead")
                + " were to be read"
                + " before its first byte, expected in " + line.get("expectedMs") + " ms; the target then ran "
                + line.get("targetInFlight");
    }

    private static String fetched(LogLine line) {
        return isZero(line, "fetchedTokens")
                ? ""
                : ", of which " + line.get("fetchedTokens") + " came from " + line.get("fetchFrom");
    }

    private static String notPlaced(LogLine line) {
        return "the arbiter of " + line.get("cell") + " found no target of " + line.get("targets") + " in "
                + line.get("waitedMs") + " ms, with " + line.get("objectiveLeftMs") + " ms of its objective left; "
                + line.get("waitingInTime") + " that could be in time waited then and " + line.get("waitingLate")
                + " late ones";
    }

    private static String dispatched(LogLine line) {
        String grant = isZero(line, "sequence") ? "without a grant" : "by grant " + line.get("sequence");
        return "sent to " + line.get("target") + " of " + line.get("cell") + " " + grant + ", attempt "
                + line.get("attempt") + ", reason " + line.get("reason") + ", after " + line.get("waitedMs")
                + " ms; prefix held there: " + line.get("prefixHeld");
    }

    private static String ended(LogLine line) {
        String failure = line.get("error").equals("-") || line.get("error").equals("none")
                ? ""
                : ", error " + line.get("error") + ", run " + line.get("run");
        return "ended for the caller: " + line.get("outcome") + ", status " + line.get("status") + failure
                + ", first byte after " + line.get("waitMs") + " ms, end after " + line.get("totalMs") + " ms, "
                + line.get("bytes") + " bytes";
    }

    private static String plain(LogLine line) {
        StringBuilder text = new StringBuilder(line.get("event"));
        line.fields().forEach((key, value) -> {
            if (!key.equals("time") && !key.equals("level") && !key.equals("source") && !key.equals("event")) {
                text.append(' ').append(key).append('=').append(value);
            }
        });
        return text.toString();
    }

    private static boolean isZero(LogLine line, String key) {
        return line.get(key).isEmpty() || line.get(key).equals("0");
    }
}
