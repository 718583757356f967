package org.marjoramswitch.daemon.platform;

import java.util.Collection;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.daemon.platform.KeyValueStore.Range;
import org.marjoramswitch.daemon.platform.KeyValueStore.WatchEvent;
import org.marjoramswitch.kernel.error.ErrorType;

/**
 * Follows the entries of one prefix: reads them once and watches them from there. A watch brings a change at once and
 * costs bytes for changes only, where polling would carry all of it each time. While the service does not answer, what was
 * read last stays.
 *
 * <p>When the watch breaks, the prefix is read anew at once: what changed before the break may have been missed, and is
 * hidden until then. Only where the last reading failed, or is no older than the pause, the pause comes first, so that a
 * service that cuts each watch at its start is not read in a loop.
 */
public final class PrefixFollower implements AutoCloseable {
    private static final KeyValueLog LOG = KeyValueLog.of(PrefixFollower.class);
    private static final double LEAST_JITTER = 0.75;
    private static final double JITTER_SPAN = 0.5;
    private static final int MAX_EVENTS = 2_048;
    private static final long REMIND_MS = 250;

    private final KeyValueStore store;
    private final String prefix;
    private final long pauseMs;
    private final Random random;
    private final Listener listener;
    private final Thread thread;

    private PrefixFollower(KeyValueStore store, String prefix, long pauseMs, long seed, Listener listener) {
        this.store = store;
        this.prefix = prefix;
        this.pauseMs = pauseMs;
        this.random = new Random(seed);
        this.listener = listener;
        this.thread = new Thread(this::run, "follow-" + prefix);
        thread.setDaemon(true);
    }

    /** Hears of the prefix, on the follower's thread. */
    public interface Listener {
        /** These are the entries now: read, changed, or told once more. */
        void onEntries(Collection<Entry> entries);

        /** Whether the entries are to be told once more in a moment, changed or not. */
        default boolean wantsRedelivery() {
            return false;
        }

        /** The prefix cannot be read now. */
        default void onUnreadable(String reason) {}
    }

    /**
     * Starts to follow.
     *
     * @param pauseMs the mean pause between two readings, and after one that failed; each one is a random 0.75 to 1.25 of it
     */
    public static PrefixFollower start(KeyValueStore store, String prefix, long pauseMs, long seed, Listener listener) {
        PrefixFollower follower = new PrefixFollower(store, prefix, pauseMs, seed, listener);
        follower.thread.start();
        return follower;
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    private void run() {
        try {
            while (true) {
                long readAtNs = System.nanoTime();
                Range range = read();
                if (range == null) {
                    TimeUnit.MILLISECONDS.sleep(jitteredPauseMs());
                    continue;
                }
                follow(range);
                long readAgoMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - readAtNs);
                TimeUnit.MILLISECONDS.sleep(Math.max(0, jitteredPauseMs() - readAgoMs));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long jitteredPauseMs() {
        return (long) (pauseMs * (LEAST_JITTER + JITTER_SPAN * random.nextDouble()));
    }

    private @Nullable Range read() throws InterruptedException {
        try {
            KeyValueResult<Range> result = store.range(prefix).get();
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

    /** Hands on the entries as read and as they change, until the watch breaks. */
    private void follow(Range range) throws InterruptedException {
        Following following = new Following(range);
        tell(following);
        AutoCloseable watch = store.watch(prefix, range.revision(), following::offer);
        try {
            while (following.await()) {
                tell(following);
            }
        } finally {
            close(watch);
        }
    }

    private void tell(Following following) {
        try {
            listener.onEntries(following.entries.values());
        } catch (RuntimeException fault) {
            // The next change is told all the same; ending here would freeze what the listener knows.
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

    /** The entries between one read and the break of the watch that follows it. */
    private final class Following {
        private final Map<String, Entry> entries = new TreeMap<>();
        private final MpscArrayQueue<WatchEvent> events = new MpscArrayQueue<>(MAX_EVENTS);
        private volatile boolean broken;

        private Following(Range range) {
            range.entries().forEach(entry -> entries.put(entry.key(), entry));
        }

        /** Takes an event in, on the watch's thread. Where the ring is full the prefix is read anew, so none is lost. */
        private void offer(WatchEvent event) {
            if (event instanceof WatchEvent.Progress) {
                return;
            }
            if (event instanceof WatchEvent.Broken || !events.offer(event)) {
                broken = true;
            }
            LockSupport.unpark(thread);
        }

        /** Waits for changes, or for the time of a reminder, and applies them; false once the watch is broken. */
        private boolean await() throws InterruptedException {
            boolean reminded = listener.wantsRedelivery();
            long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REMIND_MS);
            while (events.isEmpty() && !broken && !(reminded && System.nanoTime() - deadlineNs >= 0)) {
                park(reminded ? deadlineNs - System.nanoTime() : Long.MAX_VALUE);
            }
            events.drain(this::apply);
            return !broken;
        }

        private void park(long atMostNs) throws InterruptedException {
            LockSupport.parkNanos(this, Math.max(1, atMostNs));
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
        }

        private void apply(WatchEvent event) {
            if (event instanceof WatchEvent.Put put) {
                entries.put(put.entry().key(), put.entry());
            } else if (event instanceof WatchEvent.Deleted deleted) {
                entries.remove(deleted.key());
            }
        }
    }
}
