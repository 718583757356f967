package org.marjoramswitch.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueResult;
import org.marjoramswitch.daemon.platform.UnsupportedStore;

/** In-memory key-value store with failure injection; shared by all instances of a test. */
final class FakeStore extends UnsupportedStore {
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final List<WatchEvent> history = new ArrayList<>();
    private final AtomicLong calls = new AtomicLong();
    private @Nullable BooleanSupplier heldSwap;
    private long revision = 1;
    private boolean down;
    private boolean loseNextResponse;
    private boolean holdNextSwap;

    synchronized void setDown(boolean isDown) {
        down = isDown;
        if (isDown) {
            List<Watcher> broken = List.copyOf(watchers);
            watchers.clear();
            broken.forEach(watcher -> watcher.listener().accept(new WatchEvent.Broken()));
        }
    }

    /** Stops all events on the open watches without closing them; new watches work. */
    synchronized void silenceOpenWatches() {
        watchers.clear();
    }

    synchronized void loseNextResponse() {
        loseNextResponse = true;
    }

    synchronized void holdNextSwap() {
        holdNextSwap = true;
    }

    synchronized boolean holdsSwap() {
        return heldSwap != null;
    }

    /** Executes the held write; returns whether it took effect. */
    synchronized boolean releaseSwap() {
        BooleanSupplier swap = Objects.requireNonNull(heldSwap);
        heldSwap = null;
        return swap.getAsBoolean();
    }

    synchronized Map<String, Entry> snapshot() {
        return new TreeMap<>(entries);
    }

    /** Restores the entries of a backup and the revision of the newest of them. */
    synchronized void restore(Map<String, Entry> backup) {
        entries.clear();
        entries.putAll(backup);
        revision = backup.values().stream().mapToLong(Entry::modRevision).max().orElse(1);
        watchers.clear();
        history.clear();
    }

    synchronized @Nullable Entry entry(String key) {
        return entries.get(key);
    }

    /** Performs an operator's write; returns whether it took effect. */
    synchronized boolean write(String key, String json, long expectedRevision) {
        return apply(Map.of(key, expectedRevision), Map.of(key, json.replace('\'', '"')), List.of());
    }

    void write(String key, String json) {
        Entry entry = entry(key);
        write(key, json, entry == null ? 0 : entry.modRevision());
    }

    @Override
    public CompletableFuture<KeyValueResult<@Nullable Entry>> get(String key) {
        return reply(() -> entries.get(key));
    }

    @Override
    public CompletableFuture<KeyValueResult<Range>> range(String prefix) {
        return reply(() ->
                new Range(List.copyOf(entries.subMap(prefix, prefix + '\uffff').values()), revision));
    }

    @Override
    public synchronized CompletableFuture<KeyValueResult<Boolean>> compareAndSwap(
            Map<String, Long> expectedModRevisions, Map<String, String> puts, List<String> deletes, long leaseId) {
        if (holdNextSwap) {
            holdNextSwap = false;
            CompletableFuture<KeyValueResult<Boolean>> held = new CompletableFuture<>();
            heldSwap = () -> {
                boolean done = apply(expectedModRevisions, puts, deletes);
                held.complete(new KeyValueResult.Answered<>(done, revision));
                return done;
            };
            return held;
        }
        boolean lost = loseNextResponse;
        loseNextResponse = false;
        var reply = reply(() -> apply(expectedModRevisions, puts, deletes));
        return lost ? CompletableFuture.completedFuture(new KeyValueResult.OutcomeUnknown<>("lost")) : reply;
    }

    private synchronized <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> reply(Supplier<T> value) {
        calls.incrementAndGet();
        if (down) {
            return CompletableFuture.completedFuture(new KeyValueResult.NotSent<>("down"));
        }
        return CompletableFuture.completedFuture(new KeyValueResult.Answered<>(value.get(), revision));
    }

    private boolean apply(Map<String, Long> expected, Map<String, String> puts, List<String> deletes) {
        for (Map.Entry<String, Long> compare : expected.entrySet()) {
            Entry entry = entries.get(compare.getKey());
            if ((entry == null ? 0 : entry.modRevision()) != compare.getValue()) {
                return false;
            }
        }
        revision++;
        puts.forEach((key, value) -> {
            Entry entry = new Entry(key, value, revision, revision, 1, 0);
            entries.put(key, entry);
            notifyWatchers(key, new WatchEvent.Put(entry));
        });
        deletes.forEach(key -> {
            entries.remove(key);
            notifyWatchers(key, new WatchEvent.Deleted(key, revision));
        });
        return true;
    }

    private void notifyWatchers(String key, WatchEvent event) {
        history.add(event);
        watchers.stream()
                .filter(watcher -> key.startsWith(watcher.prefix()))
                .forEach(watcher -> watcher.listener().accept(event));
    }

    @Override
    public synchronized AutoCloseable watch(String prefix, long afterRevision, Consumer<WatchEvent> listener) {
        calls.incrementAndGet();
        if (down) {
            listener.accept(new WatchEvent.Broken());
            return () -> {};
        }
        Watcher watcher = new Watcher(prefix, listener);
        history.stream().filter(event -> isAfter(event, prefix, afterRevision)).forEach(listener);
        watchers.add(watcher);
        return () -> remove(watcher);
    }

    private synchronized void remove(Watcher watcher) {
        watchers.remove(watcher);
    }

    private static boolean isAfter(WatchEvent event, String prefix, long afterRevision) {
        if (event instanceof WatchEvent.Put put) {
            return put.entry().key().startsWith(prefix) && put.entry().modRevision() > afterRevision;
        }
        return event instanceof WatchEvent.Deleted deleted
                && deleted.key().startsWith(prefix)
                && deleted.revision() > afterRevision;
    }

    @Override
    public long calls() {
        return calls.get();
    }

    private record Watcher(String prefix, Consumer<WatchEvent> listener) {}
}
