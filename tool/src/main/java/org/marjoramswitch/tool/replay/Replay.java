package org.marjoramswitch.tool.replay;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.InstanceKernel;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.error.Failure;
import org.marjoramswitch.kernel.replay.EventJson;
import org.marjoramswitch.kernel.replay.RecordedEvent;
import org.marjoramswitch.kernel.replay.RecordingHeader;

/**
 * Replays a recording through the kernel and prints a line for each decision and outcome.
 *
 * <p>The kernel depends only on its options, its events and their times, and the recording contains all of them, so the
 * same file always gives the same lines. What the kernel did not decide, such as when a target responded, is not
 * recomputed: it is among the recorded events.
 */
public final class Replay {
    private final InstanceKernel kernel;
    private final Consumer<String> lines;
    private long events;
    private long decisions;
    private long completed;
    private long failed;

    private Replay(InstanceKernel kernel, Consumer<String> lines) {
        this.kernel = kernel;
        this.lines = lines;
    }

    /** Counts of a replay. */
    public record Summary(long events, long decisions, long completed, long failed) {
        public String line() {
            return KeyValueLog.line(
                    "replay_summary",
                    "events",
                    events,
                    "decisions",
                    decisions,
                    "completed",
                    completed,
                    "failed",
                    failed);
        }
    }

    /**
     * Replays a complete recording.
     *
     * @param lines receives a line for each decision and outcome
     * @throws IOException if the recording cannot be read or is empty
     */
    public static Summary run(BufferedReader recording, Consumer<String> lines) throws IOException {
        String first = recording.readLine();
        if (first == null) {
            throw new IOException("the recording is empty");
        }
        RecordingHeader header = EventJson.readHeader(first);
        InstanceKernel kernel = InstanceKernel.create(header.self(), header.options());
        Replay replay = new Replay(kernel, lines);
        for (String line = recording.readLine(); line != null; line = recording.readLine()) {
            replay.apply(EventJson.readEvent(line));
        }
        return new Summary(replay.events, replay.decisions, replay.completed, replay.failed);
    }

    private void apply(RecordedEvent recorded) {
        events++;
        for (Action action : kernel.apply(recorded.event(), recorded.atMs())) {
            if (action instanceof Action.Decided decided) {
                decisions++;
                print(
                        recorded.atMs(),
                        decided.decision().event(),
                        decided.decision().fields());
            } else if (action instanceof Action.Complete complete) {
                completed++;
                print(recorded.atMs(), "complete", Map.of("request", complete.requestId()));
            } else if (action instanceof Action.Fail fail) {
                failed++;
                fail(recorded.atMs(), fail.requestId(), fail.failure());
            }
        }
    }

    private void fail(long atMs, long requestId, Failure failure) {
        lines.accept(KeyValueLog.line(
                "fail",
                "atMs",
                atMs,
                "request",
                requestId,
                "error",
                failure.type(),
                "run",
                failure.run().wireName()));
    }

    private void print(long atMs, String event, Map<String, Object> fields) {
        List<Object> keyValues = new ArrayList<>(List.of("atMs", atMs));
        fields.forEach((key, value) -> {
            keyValues.add(key);
            keyValues.add(value);
        });
        lines.accept(KeyValueLog.line(event, keyValues.toArray()));
    }
}
