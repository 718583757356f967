package org.marjoramswitch.daemon.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.replay.EventJson;
import org.marjoramswitch.kernel.replay.RecordedEvent;
import org.marjoramswitch.kernel.replay.RecordingHeader;

class EventRecorderTest {
    private static final RecordingHeader HEADER = RecordingHeader.of(
            Member.of(InstanceId.of("entry-1"), 5, DataCentreId.of("leith-a"), false), KernelOptions.defaults());

    @TempDir
    Path directory;

    @Test
    void recordedEventsAreReadBack() throws Exception {
        Path file = directory.resolve("events.jsonl");
        try (EventRecorder recorder = EventRecorder.start(file, HEADER)) {
            recorder.onEvent(new Event.CallerGone(1), 10);
            recorder.onEvent(new Event.Tick(), 20);
        }
        List<String> lines = Files.readAllLines(file);
        assertEquals(HEADER, EventJson.readHeader(lines.get(0)));
        assertEquals(new RecordedEvent(10, new Event.CallerGone(1)), EventJson.readEvent(lines.get(1)));
        assertEquals(new RecordedEvent(20, new Event.Tick()), EventJson.readEvent(lines.get(2)));
    }

    /**
     * Guards against a recording with a gap, which would replay to different decisions. More events arrive than the
     * file may hold; the recording ends before the first event that does not fit.
     */
    @Test
    void recordingThatReachesMaximumSizeHasNoGap() throws Exception {
        Path file = directory.resolve("events.jsonl");
        try (EventRecorder recorder = EventRecorder.start(file, HEADER, 1024, 4_000)) {
            for (int i = 0; i < 500; i++) {
                recorder.onEvent(new Event.CallerGone(i), i);
            }
        }
        List<String> lines = Files.readAllLines(file);
        assertTrue(Files.size(file) <= 4_000);
        assertTrue(lines.size() > 10);
        for (int i = 1; i < lines.size(); i++) {
            assertEquals(i - 1, EventJson.readEvent(lines.get(i)).atMs());
        }
    }
}
