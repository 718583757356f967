package org.marjoramswitch.daemon.platform;

import java.util.Collection;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.daemon.platform.KeyValueStore.Range;
import org.marjoramswitch.daemon.platform.KeyValueStore.WatchEvent;
import org.marjoramswitch.kernel.error.ErrorType;

/**
 * Follows the entries of one prefix: reads them once and then watches them. A watch reports changes immediately and
 * transfers changes only, whereas polling would transfer all entries each time. While the store does not respond, the
 * last entries remain in use.
 *
 * <p>When the watch breaks, the prefix is read again immediately, because changes before the break may have been
 * missed. The broken watch is kept until the read succeeds, since peers may report changes through it. If the last read
 * failed or is more recent than the pause, the pause elapses first, so that a store that closes each watch at its start
 * is not read in a loop.
 */
public final class PrefixFollower implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(PrefixFollower.class);
    private static final double MIN_JITTER = 0.75;
    private static final double JITTER_SPAN = 0.5;
    private static final int MAX_EVENTS = 2_048;
    private static final long REDELIVERY_DELAY_MS = 250;
    private static final long MAX_START_DELAY_MS = 1_000;

    private final KeyValueStore store;
    private final String prefix;
    private final long pauseMs;
    private final Random random;
    private final Listener listener;
    private final CompletableFuture<?> startAfter;
    private final Thread thread;
    /** The entries of the last watch, which is broken; null if none is kept. */
    private @Nullable WatchedEntries broken;

    private @Nullable AutoCloseable brokenWatch;

    private PrefixFollower(
            KeyValueStore store,
            String prefix,
            long pauseMs,
            long seed,
            Listener listener,
            CompletableFuture<?> startAfter) {
        this.store = store;
        this.startAfter = startAfter;
        this.prefix = prefix;
        this.pauseMs = pauseMs;
        this.random = new Random(seed);
        this.listener = listener;
        this.thread = new Thread(this::run, "follow-" + prefix);
        thread.setDaemon(true);
    }

    /** Receives the entries of the prefix; called on the follower's thread. */
    public interface Listener {
        /**
         * The current entries, after a read, a change or a redelivery.
         *
         * @param revision the revision of the store up to which changes are contained
         */
        void onEntries(Collection<Entry> entries, long revision);

        /** Whether the entries are to be delivered again after 250 ms even if unchanged. */
        default boolean wantsRedelivery() {
            return false;
        }

        /**
         * The current entries after a change that peers have reported since the watch broke; the store itself has not
         * been read since.
         */
        default void onPeerEntries(Collection<Entry> entries, long revision) {
            onEntries(entries, revision);
        }

        /** A read of the prefix failed. */
        default void onUnreadable(String reason) {}
    }

    /**
     * Starts to follow the prefix.
     *
     * @param pauseMs the mean pause between two reads, and after a failed one; each is a random 0.75 to 1.25 times the
     *     mean
     */
    public static PrefixFollower start(KeyValueStore store, String prefix, long pauseMs, long seed, Listener listener) {
        return start(store, prefix, pauseMs, seed, listener, CompletableFuture.completedFuture(null));
    }

    /** @param startAfter the first read waits for its completion, for {@value #MAX_START_DELAY_MS} ms at most */
    static PrefixFollower start(
            KeyValueStore store,
            String prefix,
            long pauseMs,
            long seed,
            Listener listener,
            CompletableFuture<?> startAfter) {
        PrefixFollower follower = new PrefixFollower(store, prefix, pauseMs, seed, listener, startAfter);
        follower.thread.start();
        return follower;
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            awaitStart();
            while (true) {
                long readAtNs = System.nanoTime();
                Range range = read();
                if (range == null) {
                    pauseUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(jitteredPauseMs()));
                    continue;
                }
                follow(range);
                pauseUntil(readAtNs + TimeUnit.MILLISECONDS.toNanos(jitteredPauseMs()));
            }
        } catch (InterruptedException e) {
            closeOnInterrupt();
            Thread.currentThread().interrupt();
        }
    }

    private void closeOnInterrupt() {
        try {
            closeBroken();
        } catch (InterruptedException e) {
            LOG.debug("followed_prefix_watch_not_closed", "reason", e);
        }
    }

    private void awaitStart() throws InterruptedException {
        try {
            startAfter.get(MAX_START_DELAY_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.debug("followed_prefix_start_not_awaited", "prefix", prefix, "reason", e);
        }
    }

    private long jitteredPauseMs() {
        return (long) (pauseMs * (MIN_JITTER + JITTER_SPAN * random.nextDouble()));
    }

    private @Nullable Range read() throws InterruptedException {
        try {
            CompletableFuture<KeyValueResult<Range>> read = store.range(prefix);
            CompletableFuture<?> unused = read.whenComplete((result, failure) -> LockSupport.unpark(thread));
            deliverPeerEntriesUntil(read::isDone, Long.MAX_VALUE);
            KeyValueResult<Range> result = read.get();
            if (result instanceof KeyValueResult.Answered<Range> answered) {
                Range range = answered.value();
                LOG.info(
                        "prefix_read",
                        "prefix",
                        prefix,
                        "revision",
                        range.revision(),
                        "entries",
                        range.entries().size());
                return range;
            }
            listener.onUnreadable(result.toString());
        } catch (ExecutionException e) {
            listener.onUnreadable(String.valueOf(e.getCause()));
        }
        return null;
    }

    private void pauseUntil(long untilNs) throws InterruptedException {
        deliverPeerEntriesUntil(() -> System.nanoTime() - untilNs >= 0, untilNs);
    }

    /** Blocks until the condition holds, which is checked at that time at the latest and when this thread is unparked. */
    private void deliverPeerEntriesUntil(BooleanSupplier condition, long atNs) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            WatchedEntries peers = broken;
            long redeliverAtNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REDELIVERY_DELAY_MS);
            boolean redeliver = peers != null && listener.wantsRedelivery();
            if (peers == null || peers.events.isEmpty()) {
                long untilNs = redeliver && (atNs == Long.MAX_VALUE || redeliverAtNs - atNs < 0) ? redeliverAtNs : atNs;
                park(untilNs == Long.MAX_VALUE ? Long.MAX_VALUE : untilNs - System.nanoTime());
            }
            boolean isDue = redeliver && System.nanoTime() - redeliverAtNs >= 0;
            int changes = peers == null ? 0 : peers.drain();
            if (peers != null && (changes > 0 || isDue)) {
                logPeerChanges(changes, peers.revision);
                deliver(() -> listener.onPeerEntries(peers.entries.values(), peers.revision));
            }
        }
    }

    /** Delivers the entries as read and after each change, until the watch breaks. */
    private void follow(Range range) throws InterruptedException {
        WatchedEntries watched = new WatchedEntries(range);
        deliver(() -> listener.onEntries(watched.entries.values(), watched.revision));
        AutoCloseable watch = store.watch(prefix, range.revision(), watched::offer);
        // Closed only now, so that no change that peers report between two watches is lost.
        closeBroken();
        boolean kept = false;
        try {
            while (watched.await()) {
                deliver(() -> listener.onEntries(watched.entries.values(), watched.revision));
            }
            kept = !watched.overflowed;
        } finally {
            if (kept) {
                broken = watched;
                brokenWatch = watch;
            } else {
                close(watch);
            }
        }
    }

    private void logPeerChanges(int changes, long revision) {
        if (changes > 0) {
            LOG.info("changes_from_peers", "prefix", prefix, "revision", revision, "changes", changes);
        }
    }

    private void closeBroken() throws InterruptedException {
        AutoCloseable watch = brokenWatch;
        broken = null;
        brokenWatch = null;
        if (watch != null) {
            close(watch);
        }
    }

    private void park(long atMostNs) throws InterruptedException {
        LockSupport.parkNanos(this, Math.max(1, atMostNs));
        if (Thread.interrupted()) {
            throw new InterruptedException();
        }
    }

    private void deliver(Runnable delivery) {
        try {
            delivery.run();
        } catch (RuntimeException fault) {
            // The next change is still delivered; exiting here would leave the listener with outdated entries.
            LOG.error(fault, "followed_prefix_not_taken", "error", ErrorType.INTERNAL.number(), "prefix", prefix);
        }
    }

    private static void close(AutoCloseable watch) throws InterruptedException {
        try {
            watch.close();
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            LOG.debug("followed_prefix_watch_not_closed", "reason", e);
        }
    }

    /** The entries of one read, kept up to date by the watch that follows it until the watch breaks. */
    private final class WatchedEntries {
        private final Map<String, Entry> entries = new TreeMap<>();
        private final MpscArrayQueue<WatchEvent> events = new MpscArrayQueue<>(MAX_EVENTS);
        /** The last change of each key that found the ring full after the watch broke; guarded by itself. */
        private final Map<String, WatchEvent> overflow = new TreeMap<>();

        private long revision;
        private volatile boolean broken;
        private volatile boolean overflowed;

        private WatchedEntries(Range range) {
            revision = range.revision();
            range.entries().forEach(entry -> entries.put(entry.key(), entry));
        }

        /**
         * Accepts an event on the watch's thread. If the ring is full, the prefix is read again, so no change is lost.
         */
        private void offer(WatchEvent event) {
            if (event instanceof WatchEvent.Progress) {
                return;
            }
            if (event instanceof WatchEvent.Broken) {
                broken = true;
            } else if (broken) {
                offerOfPeers(event);
            } else if (!events.offer(event)) {
                overflowed = true;
                broken = true;
            }
            LockSupport.unpark(thread);
        }

        /** Accepts a change that no read would repeat while the store is silent, so it must not be dropped. */
        private void offerOfPeers(WatchEvent event) {
            synchronized (overflow) {
                if (overflow.isEmpty() && events.offer(event)) {
                    return;
                }
                if (event instanceof WatchEvent.Put put) {
                    overflow.put(put.entry().key(), event);
                } else if (event instanceof WatchEvent.Deleted deleted) {
                    overflow.put(deleted.key(), event);
                }
            }
        }

        /**
         * Blocks until there are changes or a redelivery is due, and applies changes; false once the watch is broken.
         */
        private boolean await() throws InterruptedException {
            boolean redeliver = listener.wantsRedelivery();
            long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REDELIVERY_DELAY_MS);
            while (events.isEmpty() && !broken && !(redeliver && System.nanoTime() - deadlineNs >= 0)) {
                park(redeliver ? deadlineNs - System.nanoTime() : Long.MAX_VALUE);
            }
            drain();
            return !broken;
        }

        /** Applies the pending changes; returns their number. */
        private int drain() {
            synchronized (overflow) {
                int changes = events.drain(this::apply) + overflow.size();
                overflow.values().forEach(this::apply);
                overflow.clear();
                return changes;
            }
        }

        private void apply(WatchEvent event) {
            if (event instanceof WatchEvent.Put put) {
                entries.put(put.entry().key(), put.entry());
                revision = Math.max(revision, put.entry().modRevision());
            } else if (event instanceof WatchEvent.Deleted deleted) {
                entries.remove(deleted.key());
                revision = Math.max(revision, deleted.revision());
            }
        }
    }
}
