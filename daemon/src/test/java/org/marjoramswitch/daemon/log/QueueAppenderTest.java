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
    private static final int QUEUE = 16;
    private static final int LINES = 200;
    private static final int RUN_SECONDS = 10;
    private static final Pattern TOLD = Pattern.compile("event=log_lines_dropped count=([0-9]+)");

    /**
     * Callers notice nothing when the reader of standard output stops: whoever logs goes on at once, though the writer
     * hangs in the middle of a line. When the reader is back, the log says how many lines are missing.
     */
    @Test
    void aReaderThatStopsHoldsNobodyUpAndTheGapIsTold() throws Exception {
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
        assertTrue(written.await(RUN_SECONDS, TimeUnit.SECONDS), "logging waited for the reader");
        long dropped = QueueAppender.dropped() - droppedBefore;
        // The writer took a queue of lines along before it hung in the first, and another one is full.
        assertTrue(dropped >= LINES - 2 * QUEUE, "dropped " + dropped);
        stream.open.countDown();
        while (queue.getNumberOfElementsInQueue() > 0) {
            Thread.onSpinWait();
        }
        logger.warn("after");
        queue.stop();
        logger.detachAppender(queue);
        String text = stream.bytes.toString(StandardCharsets.UTF_8);
        // The gap is told in two where the writer took its first lines along only after some were lost already.
        assertEquals(dropped, told(text), text);
        assertEquals(
                LINES - dropped,
                text.lines().filter(line -> line.startsWith("line ")).count());
    }

    private static long told(String text) {
        return TOLD.matcher(text)
                .results()
                .mapToLong(told -> Long.parseLong(told.group(1)))
                .sum();
    }

    private static QueueAppender queueInto(LoggerContext context, OutputStream stream) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%msg%n");
        encoder.start();
        OutputStreamAppender<ILoggingEvent> writing = new OutputStreamAppender<>();
        writing.setContext(context);
        writing.setEncoder(encoder);
        writing.setOutputStream(stream);
        writing.start();
        QueueAppender queue = new QueueAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE);
        queue.addAppender(writing);
        queue.start();
        return queue;
    }

    /** A pipe that nobody reads until it is opened. */
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
