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

/** The platform's service in memory, with its failures; shared by all instances of a test. */
final class FakeStore extends UnsupportedStore {
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final List<WatchEvent> history = new ArrayList<>();
    private final AtomicLong calls = new AtomicLong();
    private @Nullable BooleanSupplier heldSwap;
    private long revision = 1;
    private boolean down;
    private boolean loseNextAnswer;
    private boolean holdNextSwap;

    synchronized void setDown(boolean isDown) {
        down = isDown;
        if (isDown) {
            List<Watcher> broken = List.copyOf(watchers);
            watchers.clear();
            broken.forEach(watcher -> watcher.listener().accept(new WatchEvent.Broken()));
        }
    }

    /** Watches that are open now will never bring an event again; new ones work. */
    synchronized void silenceOpenWatches() {
        watchers.clear();
    }

    synchronized void loseNextAnswer() {
        loseNextAnswer = true;
    }

    synchronized void holdNextSwap() {
        holdNextSwap = true;
    }

    synchronized boolean holdsSwap() {
        return heldSwap != null;
    }

    /** Carries the held write out; the result is whether it took effect. */
    synchronized boolean releaseSwap() {
        BooleanSupplier swap = Objects.requireNonNull(heldSwap);
        heldSwap = null;
        return swap.getAsBoolean();
    }

    synchronized Map<String, Entry> snapshot() {
        return new TreeMap<>(entries);
    }

    /** Brings a backup back: its entries, and the revision of the newest of them. */
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

    /** An operator's write; the answer is whether it took effect. */
    synchronized boolean write(String key, String json, long expectedRevision) {
        return apply(Map.of(key, expectedRevision), Map.of(key, json.replace('\'', '"')), List.of());
    }

    void write(String key, String json) {
        Entry entry = entry(key);
        write(key, json, entry == null ? 0 : entry.modRevision());
    }

    @Override
    public CompletableFuture<KeyValueResult<@Nullable Entry>> get(String key) {
        return answer(() -> entries.get(key));
    }

    @Override
    public CompletableFuture<KeyValueResult<Range>> range(String prefix) {
        return answer(() ->
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
        boolean lost = loseNextAnswer;
        loseNextAnswer = false;
        var answer = answer(() -> apply(expectedModRevisions, puts, deletes));
        return lost ? CompletableFuture.completedFuture(new KeyValueResult.OutcomeUnknown<>("lost")) : answer;
    }

    private synchronized <T extends @Nullable Object> CompletableFuture<KeyValueResult<T>> answer(Supplier<T> value) {
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
            tell(key, new WatchEvent.Put(entry));
        });
        deletes.forEach(key -> {
            entries.remove(key);
            tell(key, new WatchEvent.Deleted(key, revision));
        });
        return true;
    }

    private void tell(String key, WatchEvent event) {
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
