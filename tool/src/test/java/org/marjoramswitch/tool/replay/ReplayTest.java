package org.marjoramswitch.tool.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.InstanceKernel;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.action.Decision;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.FleetView;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.RequestSpec;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.model.TargetOutcome;
import org.marjoramswitch.kernel.model.Usage;
import org.marjoramswitch.kernel.replay.EventJson;
import org.marjoramswitch.kernel.replay.RecordedEvent;
import org.marjoramswitch.kernel.replay.RecordingHeader;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetSettings;

class ReplayTest {
    private static final PoolId POOL = PoolId.of("atelier-llm");
    private static final DataCentreId HALL = DataCentreId.of("hall-soudure");
    private static final Member SELF = Member.of(InstanceId.of("entry-1"), 1, HALL, false);

    private static final long TICK_MS = 100;
    private static final long ANSWER_MS = 250;
    private static final long END_MS = 5_000;

    private final InstanceKernel live = InstanceKernel.create(SELF, KernelOptions.defaults());
    private final List<Decision> liveDecisions = new ArrayList<>();
    private final Map<Long, Long> answersDueMs = new TreeMap<>();
    private final StringBuilder recording =
            new StringBuilder(EventJson.write(RecordingHeader.of(SELF, KernelOptions.defaults())) + "\n");

    /** Applies an event to the live kernel and records it, as an instance does. */
    private void applyAndRecord(Event event, long nowMs) {
        recording.append(EventJson.write(new RecordedEvent(nowMs, event))).append('\n');
        for (Action action : live.apply(event, nowMs)) {
            if (action instanceof Action.Decided decided) {
                liveDecisions.add(decided.decision());
            } else if (action instanceof Action.Dispatch dispatch) {
                answersDueMs.put(dispatch.requestId(), nowMs + ANSWER_MS);
            }
        }
    }

    private static FleetSettings settings() {
        CustomerId north = CustomerId.of("quai-nord");
        CustomerId south = CustomerId.of("quai-sud");
        TargetId engine = TargetId.of("engine-1");
        return FleetSettings.of(
                1,
                Map.of(
                        north, new CustomerSettings(north, "quais", 1, Set.of("aa"), 10),
                        south, new CustomerSettings(south, "quais", 2, Set.of("bb"), 10)),
                Map.of(POOL, PoolSettings.modelEngines(POOL)),
                Map.of(engine, new TargetSettings(engine, POOL, "127.0.0.1", 9, HALL, 1, true)));
    }

    private static Event request(long id, String customer) {
        return new Event.RequestArrived(new RequestSpec(id, CustomerId.of(customer), POOL, 3, true, 20, 0, 0, END_MS));
    }

    private void runThreeRequests() {
        applyAndRecord(new Event.ViewChanged(FleetView.of(List.of(SELF))), 0);
        applyAndRecord(new Event.SettingsAccepted(settings()), 1);
        applyAndRecord(request(1, "quai-nord"), 2);
        applyAndRecord(request(2, "quai-nord"), 3);
        applyAndRecord(request(3, "quai-sud"), 4);
        for (long nowMs = TICK_MS; nowMs < END_MS; nowMs += TICK_MS) {
            applyAndRecord(new Event.Tick(), nowMs);
            answerDue(nowMs);
        }
    }

    private void answerDue(long nowMs) {
        List<Long> due = answersDueMs.entrySet().stream()
                .filter(answer -> answer.getValue() <= nowMs)
                .map(Map.Entry::getKey)
                .toList();
        answersDueMs.keySet().removeAll(due);
        due.forEach(id ->
                applyAndRecord(new Event.TargetEnded(id, TargetOutcome.COMPLETED, Usage.of(20, 0, 90, 250)), nowMs));
    }

    private List<String> replay() throws IOException {
        List<String> lines = new ArrayList<>();
        Replay.Summary summary = Replay.run(new BufferedReader(new StringReader(recording.toString())), lines::add);
        lines.add(summary.line());
        return lines;
    }

    @Test
    void reproducesTheDecisionsOfTheInstance() throws Exception {
        runThreeRequests();
        List<String> lines = replay();
        assertEquals(
                "event=replay_summary events=" + (recording.toString().lines().count() - 1) + " decisions="
                        + liveDecisions.size() + " completed=3 failed=0",
                lines.get(lines.size() - 1));
        List<String> liveEvents = liveDecisions.stream().map(Decision::event).toList();
        List<String> replayed = lines.stream()
                .map(line -> line.substring("event=".length(), line.indexOf(' ')))
                .filter(event -> !event.equals("complete") && !event.equals("replay_summary"))
                .toList();
        assertEquals(liveEvents, replayed);
    }

    @Test
    void isDeterministic() throws Exception {
        runThreeRequests();
        assertEquals(replay(), replay());
    }

    @Test
    void rejectsInvalidRecordings() {
        recording.setLength(0);
        assertThrows(IOException.class, this::replay);
        recording.append("{\"format\":99}\n");
        assertThrows(IOException.class, this::replay);
    }
}
