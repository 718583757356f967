package org.marjoramswitch.daemon.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Queues log lines for a writer thread and never blocks the caller. When the reader of standard output stops reading,
 * the queue fills and further lines are dropped, because an event loop that waited would stop every request. Dropped
 * lines are counted, and the log itself reports their number as soon as lines are written again, so that a reader who
 * looks for a request does not take a missing line for an event that never happened.
 */
public final class QueueAppender extends AsyncAppender {
    private static final AtomicLong DROPPED = new AtomicLong();

    private final AtomicLong unreported = new AtomicLong();

    /** Called by the Logback configuration, which creates appenders by class name and sets their properties. */
    public QueueAppender() {
        setNeverBlock(true);
        setDiscardingThreshold(0);
    }

    /** Number of lines dropped since the process started. */
    public static long dropped() {
        return DROPPED.get();
    }

    @Override
    protected void append(ILoggingEvent event) {
        int free = getRemainingCapacity();
        if (free == 0) {
            DROPPED.incrementAndGet();
            unreported.incrementAndGet();
            return;
        }
        super.append(event);
        // With one free slot, which the event takes, the line that reports the drop would be dropped itself.
        if (free > 1) {
            reportDropped();
        }
    }

    private void reportDropped() {
        long lost = unreported.get() == 0 ? 0 : unreported.getAndSet(0);
        if (lost == 0 || !(getContext() instanceof LoggerContext context)) {
            return;
        }
        String line = KeyValueLog.line("log_lines_dropped", "count", lost, "inAll", dropped());
        String name = QueueAppender.class.getName();
        // Queued directly, because an appender ignores events that are logged while it appends.
        super.append(new LoggingEvent(name, context.getLogger(name), Level.WARN, line, null, null));
    }
}
