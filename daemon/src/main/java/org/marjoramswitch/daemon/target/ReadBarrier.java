package org.marjoramswitch.daemon.target;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Runs tasks once the sockets of an I/O thread have been read. An I/O thread runs its tasks and timers, including those
 * that become due meanwhile, before it handles its sockets; after a pause of the process, or while it is behind, a timer
 * therefore fires although the bytes that it waits for have arrived.
 *
 * <p>A pipe that is always writable is handled together with the readable sockets. All sockets that are readable now have
 * been handled when the pipe is handled for the second time: the first time may precede other sockets.
 *
 * <p>Confined to its I/O thread.
 */
public final class ReadBarrier {
    private static final int TURNS = 2;
    /** Used if no pipe can be opened. */
    private static final long FALLBACK_MS = 10;

    private final XnioIoThread thread;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private @Nullable StreamSinkChannel pipe;

    private ReadBarrier(XnioIoThread thread) {
        this.thread = thread;
    }

    public static ReadBarrier of(XnioIoThread thread) {
        return new ReadBarrier(thread);
    }

    /** Runs the task after all sockets that are readable now have been read once. */
    public void afterReads(Runnable task) {
        StreamSinkChannel opened = openedPipe();
        if (opened == null) {
            thread.executeAfter(task, FALLBACK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        waiting.add(new Waiting(task));
        opened.resumeWrites();
    }

    private @Nullable StreamSinkChannel openedPipe() {
        if (pipe != null && pipe.isOpen()) {
            return pipe;
        }
        try {
            StreamSinkChannel opened = thread.createHalfDuplexPipe().getRightSide();
            opened.getWriteSetter().set(writable -> onTurn());
            pipe = opened;
            return opened;
        } catch (IOException e) {
            return null;
        }
    }

    private void onTurn() {
        int count = waiting.size();
        for (int i = 0; i < count; i++) {
            Waiting next = Objects.requireNonNull(waiting.poll());
            next.turns++;
            if (next.turns < TURNS) {
                waiting.add(next);
            } else {
                thread.execute(next.task);
            }
        }
        if (waiting.isEmpty()) {
            Objects.requireNonNull(pipe).suspendWrites();
        }
    }

    /** A task, and how often the pipe has been handled since it was added. */
    private static final class Waiting {
        private final Runnable task;
        private int turns;

        private Waiting(Runnable task) {
            this.task = task;
        }
    }
}
