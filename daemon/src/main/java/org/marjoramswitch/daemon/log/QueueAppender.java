package org.marjoramswitch.daemon.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Queues lines for a writer of its own, and never makes anybody wait. When the reader of standard output stands still, the
 * queue fills and further lines are lost; a duty that waited in place of that would stop every request. What was lost is
 * counted, and told in the log itself as soon as lines get through again: a gap that nobody knows of would make the log
 * lie to whoever looks for a request in it.
 */
public final class QueueAppender extends AsyncAppender {
    private static final AtomicLong DROPPED = new AtomicLong();

    private final AtomicLong untold = new AtomicLong();

    /** For the configuration, which creates appenders by name and sets their properties. */
    public QueueAppender() {
        setNeverBlock(true);
        setDiscardingThreshold(0);
    }

    /** Lines lost since the process began. */
    public static long dropped() {
        return DROPPED.get();
    }

    @Override
    protected void append(ILoggingEvent event) {
        int free = getRemainingCapacity();
        if (free == 0) {
            DROPPED.incrementAndGet();
            untold.incrementAndGet();
            return;
        }
        super.append(event);
        // With one place free the line that tells of it would be lost in its turn.
        if (free > 1) {
            tellOfLost();
        }
    }

    private void tellOfLost() {
        long lost = untold.get() == 0 ? 0 : untold.getAndSet(0);
        if (lost == 0 || !(getContext() instanceof LoggerContext context)) {
            return;
        }
        String line = KeyValueLog.line("log_lines_dropped", "count", lost, "inAll", dropped());
        String name = QueueAppender.class.getName();
        // Put into the queue here: an appender does not take what is logged while it appends.
        super.append(new LoggingEvent(name, context.getLogger(name), Level.WARN, line, null, null));
    }
}
