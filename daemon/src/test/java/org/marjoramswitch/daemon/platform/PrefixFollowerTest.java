package org.marjoramswitch.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.marjoramswitch.daemon.platform.PlatformFixture.until;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests when a prefix is read again: immediately after a watch that lasted, and never in a loop. */
@Timeout(60)
class PrefixFollowerTest {
    private static final String PREFIX = "followed/";
    /** No test waits this long; the tests detect that the follower is sleeping. */
    private static final long LONG_PAUSE_MS = TimeUnit.HOURS.toMillis(1);

    /** More than the follower's queue holds. */
    private static final int MANY_CHANGES = 5_000;

    private final ReadStore store = new ReadStore();
    private @Nullable PrefixFollower follower;

    @AfterEach
    void stop() {
        if (follower != null) {
            follower.close();
        }
    }

    /**
     * Changes that a broken watch missed are visible only after the next read; the pause has elapsed since the first.
     */
    @Test
    void brokenWatchIsFollowedByARead() throws Exception {
        follow(1);
        until(() -> store.listener != null);
        store.breakWatch();
        until(() -> store.reads.get() == 2);
    }

    /**
     * The store counts each call; one that closes each watch at its start would be read thousands of times a second.
     */
    @Test
    void storeThatClosesEachWatchAtItsStartIsNotReadInALoop() throws Exception {
        store.closesWatches = true;
        follow(LONG_PAUSE_MS);
        until(PrefixFollowerTest::isSleeping);
        assertEquals(1, store.reads.get());
    }

    /** The same for an unreachable store. */
    @Test
    void failedReadIsFollowedByAPause() throws Exception {
        store.unreachable = true;
        follow(LONG_PAUSE_MS);
        until(PrefixFollowerTest::isSleeping);
        assertEquals(1, store.reads.get());
    }

    /** Guards against changes of peers that are dropped, and not read later, because the listener is slow. */
    @Test
    void changesOfPeersAreKeptWhileTheListenerIsBusy() throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        AtomicInteger known = new AtomicInteger();
        follower = PrefixFollower.start(store, PREFIX, LONG_PAUSE_MS, 1, (entries, revision) -> {
            known.set(entries.size());
            if (!entries.isEmpty()) {
                busy.countDown();
                awaitUninterruptibly(release);
            }
        });
        until(() -> store.listener != null);
        store.unreachable = true;
        store.breakWatch();
        for (int i = 0; busy.getCount() > 0; i++) {
            store.change(PREFIX + 0, 2 + i);
            TimeUnit.MILLISECONDS.sleep(1);
        }
        for (int i = 0; i < MANY_CHANGES; i++) {
            store.change(PREFIX + i, MANY_CHANGES + i);
        }
        release.countDown();
        until(() -> known.get() == MANY_CHANGES);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void follow(long pauseMs) {
        follower = PrefixFollower.start(store, PREFIX, pauseMs, 1, (entries, revision) -> {});
    }

    private static boolean isSleeping() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals("follow-" + PREFIX))
                .anyMatch(thread -> thread.getState() == Thread.State.TIMED_WAITING);
    }

    /** Store without entries that can be unreachable or close its watches. */
    private static final class ReadStore extends UnsupportedStore {
        private final AtomicInteger reads = new AtomicInteger();
        private volatile boolean unreachable;
        private volatile boolean closesWatches;
        private volatile @Nullable Consumer<WatchEvent> listener;

        private void change(String key, long revision) {
            Consumer<WatchEvent> current = listener;
            if (current != null) {
                current.accept(new WatchEvent.Put(new Entry(key, "", revision, revision, 1, 0)));
            }
        }

        private void breakWatch() {
            Consumer<WatchEvent> current = listener;
            if (current != null) {
                current.accept(new WatchEvent.Broken());
            }
        }

        @Override
        public CompletableFuture<KeyValueResult<Range>> range(String prefix) {
            reads.incrementAndGet();
            KeyValueResult<Range> result = unreachable
                    ? new KeyValueResult.NotSent<>("away")
                    : new KeyValueResult.Answered<>(new Range(List.of(), 1), 1);
            return CompletableFuture.completedFuture(result);
        }

        @Override
        public AutoCloseable watch(String prefix, long afterRevision, Consumer<WatchEvent> newListener) {
            listener = newListener;
            if (closesWatches) {
                breakWatch();
            }
            return () -> {};
        }

        @Override
        public long calls() {
            return reads.get();
        }
    }
}
