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
 * Sees that the settings file has changed where no signal says so. Its bytes are compared: a file that is put in the
 * place of another may bear any time.
 *
 * <p>A watch is made before the settings are read for the first time. One that took its first look only after the start
 * missed a change that came meanwhile, for good: it took the new bytes for those that the settings in use were read from.
 */
public final class SettingsFileWatch implements AutoCloseable {
    /** Operators look for the effect of a change within seconds; a small file read so often costs next to nothing. */
    private static final long PERIOD_MS = 2_000;

    private static final KeyValueLog LOG = KeyValueLog.of(SettingsFileWatch.class);

    private final ScheduledExecutorService thread;
    private final Path file;
    private byte[] known;

    private SettingsFileWatch(Path file) {
        this.file = file;
        this.known = read();
        this.thread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread created = new Thread(task, "settings-file");
            created.setDaemon(true);
            return created;
        });
    }

    /** Remembers the file as it is now; read the settings from it after this. */
    public static SettingsFileWatch of(Path file) {
        return new SettingsFileWatch(file);
    }

    /** @param onChange called on a thread of the watch's own from now on; it reads the file by itself */
    void start(Runnable onChange) {
        ScheduledFuture<?> unused =
                thread.scheduleWithFixedDelay(() -> look(onChange), PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }

    private void look(Runnable onChange) {
        byte[] now = read();
        if (Arrays.equals(known, now)) {
            return;
        }
        known = now;
        try {
            onChange.run();
        } catch (RuntimeException fault) {
            // Let out, it would end the watch: no later change would be seen.
            LOG.error(fault, "settings_reload_failed", "file", file);
        }
    }

    /** Nothing where it cannot be read; whoever is told of the change logs why. */
    private byte[] read() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException unreadable) {
            return new byte[0];
        }
    }
}
