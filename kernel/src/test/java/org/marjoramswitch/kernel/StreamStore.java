package org.marjoramswitch.kernel;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.action.Action;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage.StreamBeginning;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.stream.PersistedVersions;

/**
 * Stand-in for the key-value store and its clients: stores what the instances persist after a latency, and passes it to
 * instances that start. It can be unavailable, lose the responses of writes, and be restored from an older copy.
 */
final class StreamStore {
    private static final long RETRY_MS = 250;
    private static final int MAX_ATTEMPTS = 40;

    private final Random random;
    private final BiConsumer<InstanceId, Event> deliver;
    private final List<Call> calls = new ArrayList<>();
    /** For each instance, the value of the snapshot that it read or wrote last. */
    private final Map<InstanceId, Long> knownSnapshots = new TreeMap<>();

    private Contents contents = new Contents(null, List.of());
    private long era;
    private long lastWrite;
    private long maxLatencyMs = 20;
    private long clockOffsetMs;
    private boolean available = true;
    private int lostResponsesPercent;

    StreamStore(Random random, BiConsumer<InstanceId, Event> deliver) {
        this.random = random;
        this.deliver = deliver;
    }

    /** What the store holds. */
    record Contents(@Nullable Snapshot snapshot, List<Batch> batches) {}

    private record Snapshot(long write, long era, long writtenAtMs, PersistedVersions versions) {}

    private record Batch(long write, long storedAtMs, long writtenAtMs, Action.PersistStreams streams) {}

    private record Call(
            InstanceId by,
            long dueAtMs,
            int attempt,
            @Nullable Action write) {}

    void available(boolean isAvailable) {
        available = isAvailable;
    }

    void maxLatencyMs(long latencyMs) {
        maxLatencyMs = latencyMs;
    }

    void lostResponsesPercent(int percent) {
        lostResponsesPercent = percent;
    }

    /** Steps the wall clocks of all instances. */
    void stepClock(long stepMs) {
        clockOffsetMs += stepMs;
    }

    Contents copy() {
        return contents;
    }

    void restoreFrom(Contents copy) {
        contents = copy;
        era++;
    }

    void write(InstanceId by, Action write, long nowMs) {
        call(by, 1, write, nowMs);
    }

    /** An instance starts and reads what was persisted. */
    void read(InstanceId by, long nowMs) {
        call(by, 1, null, nowMs);
    }

    /** The instances have crashed; calls that were sent may still take effect. */
    void crashed(long nowMs) {
        calls.removeIf(call -> call.write() == null || call.attempt() > 1 || random.nextBoolean());
        List<Call> sent = List.copyOf(calls);
        calls.clear();
        sent.forEach(call -> perform(new Call(call.by(), nowMs, MAX_ATTEMPTS, call.write()), nowMs));
        knownSnapshots.clear();
    }

    void advance(long nowMs) {
        List<Call> due = calls.stream()
                .filter(call -> call.dueAtMs() <= nowMs)
                .sorted(Comparator.comparingLong(Call::dueAtMs))
                .toList();
        calls.removeAll(due);
        due.forEach(call -> perform(call, nowMs));
    }

    private void call(InstanceId by, int attempt, @Nullable Action write, long nowMs) {
        long latencyMs = 1 + (long) (random.nextDouble() * maxLatencyMs);
        calls.add(new Call(by, nowMs + latencyMs + (attempt > 1 ? RETRY_MS : 0), attempt, write));
    }

    private void perform(Call call, long nowMs) {
        if (!available) {
            retry(call, nowMs);
        } else if (call.write() instanceof Action.PersistVersions versions) {
            writeSnapshot(call, versions.versions(), nowMs);
        } else if (call.write() instanceof Action.PersistStreams streams) {
            writeBatch(call, streams, nowMs);
        } else {
            deliver.accept(call.by(), new Event.StreamsRestored(snapshot(call.by(), nowMs), streams(nowMs)));
        }
    }

    private void retry(Call call, long nowMs) {
        if (call.attempt() < MAX_ATTEMPTS || call.write() == null) {
            call(call.by(), call.attempt() + 1, call.write(), nowMs);
        }
    }

    private void writeSnapshot(Call call, PersistedVersions versions, long nowMs) {
        Snapshot current = contents.snapshot();
        if (current != null && current.write() != knownSnapshots.getOrDefault(call.by(), 0L)) {
            deliver.accept(call.by(), new Event.StreamsRestored(snapshot(call.by(), nowMs), List.of()));
            return;
        }
        contents = new Contents(new Snapshot(++lastWrite, era, nowMs + clockOffsetMs, versions), contents.batches());
        knownSnapshots.put(call.by(), lastWrite);
        if (isResponseLost()) {
            retry(call, nowMs);
        }
    }

    private void writeBatch(Call call, Action.PersistStreams streams, long nowMs) {
        List<Batch> batches = new ArrayList<>(contents.batches());
        batches.removeIf(batch -> batch.storedAtMs() + batch.streams().keptMs() + 30_000 <= nowMs);
        batches.add(new Batch(++lastWrite, nowMs, nowMs + clockOffsetMs, streams));
        contents = new Contents(contents.snapshot(), List.copyOf(batches));
        if (isResponseLost()) {
            retry(call, nowMs);
        }
    }

    private boolean isResponseLost() {
        return random.nextInt(100) < lostResponsesPercent;
    }

    private @Nullable PersistedVersions snapshot(InstanceId by, long nowMs) {
        Snapshot current = contents.snapshot();
        if (current == null) {
            return null;
        }
        knownSnapshots.put(by, current.write());
        return current.era() == era
                ? current.versions().readAfter(nowMs + clockOffsetMs - current.writtenAtMs())
                : null;
    }

    /** In an order of its own: the store's keys do not tell which batch is newer. */
    private List<Event.PoolStreams> streams(long nowMs) {
        List<Event.PoolStreams> streams = new ArrayList<>();
        contents.batches().stream()
                .sorted(Comparator.comparing(batch -> Long.toString(batch.write())))
                .forEach(batch -> {
                    long elapsedMs = Math.max(0, nowMs + clockOffsetMs - batch.writtenAtMs());
                    List<StreamBeginning> beginnings = batch.streams().beginnings().stream()
                            .filter(beginning -> beginning.leftMs() > elapsedMs)
                            .map(beginning -> new StreamBeginning(
                                    beginning.streamKey(), beginning.softwareVersion(), beginning.leftMs() - elapsedMs))
                            .toList();
                    streams.add(new Event.PoolStreams(batch.streams().pool(), beginnings));
                });
        return streams;
    }
}
