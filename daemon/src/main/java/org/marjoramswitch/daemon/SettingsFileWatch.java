package org.marjoramswitch.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.marjoramswitch.daemon.log.KeyValueLog;

/**
 * Polls the settings file for changes that no signal announces. The bytes are compared, because a file that replaces
 * another may have any modification time.
 *
 * <p>The watch must be created before the settings are first read. Otherwise it would take the new bytes of a file that
 * changes during the start for those in use, and would never report that change.
 */
public final class SettingsFileWatch implements AutoCloseable {
    /** Operators expect a change to take effect within seconds; polling a small file is cheap. */
    private static final long POLL_INTERVAL_MS = 2_000;

    private static final KeyValueLog LOG = KeyValueLog.of(SettingsFileWatch.class);

    private final ScheduledExecutorService thread;
    private final Path file;
    private byte[] lastContent;

    private SettingsFileWatch(Path file) {
        this.file = file;
        this.lastContent = read();
        this.thread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread created = new Thread(task, "settings-file");
            created.setDaemon(true);
            return created;
        });
    }

    /** Records the current content of the file; the settings must be read from it afterwards. */
    public static SettingsFileWatch of(Path file) {
        return new SettingsFileWatch(file);
    }

    /** @param onChange called on the watch's thread for each change from now on; must read the file itself */
    void start(Runnable onChange) {
        ScheduledFuture<?> unused = thread.scheduleWithFixedDelay(
                () -> poll(onChange), POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }

    private void poll(Runnable onChange) {
        byte[] content = read();
        if (Arrays.equals(lastContent, content)) {
            return;
        }
        lastContent = content;
        try {
            onChange.run();
        } catch (RuntimeException fault) {
            // A thrown exception would end the scheduled task, and no later change would be reported.
            LOG.error(fault, "settings_reload_failed", "file", file);
        }
    }

    /** Returns an empty array if the file cannot be read; the listener logs the reason. */
    private byte[] read() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException unreadable) {
            return new byte[0];
        }
    }
}
