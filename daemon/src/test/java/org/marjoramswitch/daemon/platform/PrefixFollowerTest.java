package org.marjoramswitch.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.marjoramswitch.daemon.platform.PlatformFixture.until;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** When a prefix is read anew: at once after a watch that held, and never in a loop. */
@Timeout(60)
class PrefixFollowerTest {
    private static final String PREFIX = "followed/";
    /** No test waits for it; a follower that pauses for so long is seen to sleep. */
    private static final long LONG_PAUSE_MS = TimeUnit.HOURS.toMillis(1);

    private final ReadStore store = new ReadStore();
    private @Nullable PrefixFollower follower;

    @AfterEach
    void stop() {
        if (follower != null) {
            follower.close();
        }
    }

    /** What a cut watch missed is hidden until the reading; the pause has passed since the first one. */
    @Test
    void aBrokenWatchIsFollowedByAReading() throws Exception {
        follow(1);
        until(() -> store.listener != null);
        store.breakWatch();
        until(() -> store.reads.get() == 2);
    }

    /** The service counts each call; one that cuts each watch at its start would be read thousands of times a second. */
    @Test
    void aServiceThatCutsEachWatchAtItsStartIsNotReadInALoop() throws Exception {
        store.cutsWatches = true;
        follow(LONG_PAUSE_MS);
        until(PrefixFollowerTest::sleeps);
        assertEquals(1, store.reads.get());
    }

    /** The same for a service that is away. */
    @Test
    void aReadingThatFailedIsFollowedByAPause() throws Exception {
        store.away = true;
        follow(LONG_PAUSE_MS);
        until(PrefixFollowerTest::sleeps);
        assertEquals(1, store.reads.get());
    }

    private void follow(long pauseMs) {
        follower = PrefixFollower.start(store, PREFIX, pauseMs, 1, entries -> {});
    }

    private static boolean sleeps() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals("follow-" + PREFIX))
                .anyMatch(thread -> thread.getState() == Thread.State.TIMED_WAITING);
    }

    /** A service without entries, which can be away or cut its watches. */
    private static final class ReadStore extends UnsupportedStore {
        private final AtomicInteger reads = new AtomicInteger();
        private volatile boolean away;
        private volatile boolean cutsWatches;
        private volatile @Nullable Consumer<WatchEvent> listener;

        private void breakWatch() {
            Consumer<WatchEvent> told = listener;
            if (told != null) {
                told.accept(new WatchEvent.Broken());
            }
        }

        @Override
        public CompletableFuture<KeyValueResult<Range>> range(String prefix) {
            reads.incrementAndGet();
            KeyValueResult<Range> result = away
                    ? new KeyValueResult.NotSent<>("away")
                    : new KeyValueResult.Answered<>(new Range(List.of(), 1), 1);
            return CompletableFuture.completedFuture(result);
        }

        @Override
        public AutoCloseable watch(String prefix, long afterRevision, Consumer<WatchEvent> told) {
            listener = told;
            if (cutsWatches) {
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
