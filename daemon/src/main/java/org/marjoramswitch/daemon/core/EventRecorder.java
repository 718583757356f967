package org.marjoramswitch.daemon.core;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.SpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.replay.EventJson;
import org.marjoramswitch.kernel.replay.RecordedEvent;
import org.marjoramswitch.kernel.replay.RecordingHeader;

/**
 * Records the events of the decision loop in a file, for replay. The decision thread only adds them to a bounded ring;
 * the recorder's own thread serializes and writes them.
 *
 * <p>A recording with a gap would replay to different decisions. The recording therefore ends at the first event that
 * exceeds the ring's capacity or the file's maximum size; everything before it is complete.
 */
public final class EventRecorder implements EventObserver, AutoCloseable {
    /** Maximum size of a recording. */
    public static final long MAX_BYTES = 256L << 20;

    private static final int RING_CAPACITY = 1 << 16;
    private static final long IDLE_NS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long JOIN_MS = 5_000;
    private static final KeyValueLog LOG = KeyValueLog.of(EventRecorder.class);

    private final SpscArrayQueue<RecordedEvent> ring;
    private final BufferedWriter writer;
    private final long maxBytes;
    private final Thread thread;
    private volatile boolean closed;
    private volatile boolean ringWasFull;
    private long writtenBytes;

    private EventRecorder(BufferedWriter writer, int ringCapacity, long maxBytes) {
        this.ring = new SpscArrayQueue<>(ringCapacity);
        this.writer = writer;
        this.maxBytes = maxBytes;
        this.thread = new Thread(this::run, "recorder");
    }

    /** Starts a recording; replaces an existing file. */
    public static EventRecorder start(Path file, RecordingHeader header) throws IOException {
        return start(file, header, RING_CAPACITY, MAX_BYTES);
    }

    static EventRecorder start(Path file, RecordingHeader header, int ringCapacity, long maxBytes) throws IOException {
        BufferedWriter writer = Files.newBufferedWriter(file, StandardCharsets.UTF_8);
        EventRecorder recorder = new EventRecorder(writer, ringCapacity, maxBytes);
        recorder.writeLine(EventJson.write(header));
        recorder.thread.start();
        return recorder;
    }

    @Override
    public void onEvent(Event event, long nowMs) {
        if (!ringWasFull && !ring.offer(new RecordedEvent(nowMs, event))) {
            ringWasFull = true;
        }
    }

    private void run() {
        String reason = "closed";
        try (writer) {
            reason = writeEvents();
        } catch (IOException fault) {
            reason = fault.toString();
        }
        ringWasFull = true;
        ring.clear();
        LOG.info("recording_ended", "reason", reason, "bytes", writtenBytes);
    }

    private String writeEvents() throws IOException {
        while (true) {
            boolean closing = closed;
            boolean full = ringWasFull;
            @Nullable RecordedEvent next = ring.poll();
            if (next == null && (closing || full)) {
                return full ? "ring full" : "closed";
            }
            if (next == null) {
                writer.flush();
                LockSupport.parkNanos(this, IDLE_NS);
            } else if (!writeLine(EventJson.write(next))) {
                return "size limit";
            }
        }
    }

    private boolean writeLine(String line) throws IOException {
        // Almost all of the text is ASCII; three bytes for any other char is an upper bound in UTF-8.
        long lineBytes = 1 + line.chars().mapToLong(c -> c < 128 ? 1 : 3).sum();
        if (writtenBytes + lineBytes > maxBytes) {
            return false;
        }
        writer.write(line);
        writer.write('\n');
        writtenBytes += lineBytes;
        return true;
    }

    /** Writes the events that are still in the ring and closes the file. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(JOIN_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
