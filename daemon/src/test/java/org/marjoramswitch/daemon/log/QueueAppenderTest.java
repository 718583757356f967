package org.marjoramswitch.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class QueueAppenderTest {
    private static final int QUEUE_SIZE = 16;
    private static final int LINES = 200;
    private static final int TIMEOUT_S = 10;
    private static final Pattern DROPPED_REPORT = Pattern.compile("event=log_lines_dropped count=([0-9]+)");

    /**
     * When the reader of standard output stops, the writer thread blocks in the middle of a line. Threads that log must
     * not block, and once the reader continues, the log must report the number of dropped lines.
     */
    @Test
    void aBlockedReaderDoesNotBlockLoggingAndTheDroppedLinesAreReported() throws Exception {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        BlockedStream stream = new BlockedStream();
        QueueAppender queue = queueInto(context, stream);
        Logger logger = context.getLogger("test.blocked");
        logger.setAdditive(false);
        logger.addAppender(queue);
        long droppedBefore = QueueAppender.dropped();
        CountDownLatch written = new CountDownLatch(1);
        Thread writer = new Thread(() -> {
            for (int i = 0; i < LINES; i++) {
                logger.warn("line {}", i);
            }
            written.countDown();
        });
        writer.start();
        assertTrue(written.await(TIMEOUT_S, TimeUnit.SECONDS), "logging blocked on the reader");
        long dropped = QueueAppender.dropped() - droppedBefore;
        // The writer took one queue of lines before it blocked on the first line, and a second queue is full.
        assertTrue(dropped >= LINES - 2 * QUEUE_SIZE, "dropped " + dropped);
        stream.open.countDown();
        while (queue.getNumberOfElementsInQueue() > 0) {
            Thread.onSpinWait();
        }
        logger.warn("after");
        queue.stop();
        logger.detachAppender(queue);
        String text = stream.bytes.toString(StandardCharsets.UTF_8);
        // The count is split over two lines if some lines were dropped before the writer took its first batch.
        assertEquals(dropped, reportedDropped(text), text);
        assertEquals(
                LINES - dropped,
                text.lines().filter(line -> line.startsWith("line ")).count());
    }

    private static long reportedDropped(String text) {
        return DROPPED_REPORT
                .matcher(text)
                .results()
                .mapToLong(match -> Long.parseLong(match.group(1)))
                .sum();
    }

    private static QueueAppender queueInto(LoggerContext context, OutputStream stream) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%msg%n");
        encoder.start();
        OutputStreamAppender<ILoggingEvent> writer = new OutputStreamAppender<>();
        writer.setContext(context);
        writer.setEncoder(encoder);
        writer.setOutputStream(stream);
        writer.start();
        QueueAppender queue = new QueueAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_SIZE);
        queue.addAppender(writer);
        queue.start();
        return queue;
    }

    /** A stream whose writes block until {@code open} is counted down. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch open = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        public void write(int b) {
            try {
                open.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            bytes.write(b);
        }
    }
}
