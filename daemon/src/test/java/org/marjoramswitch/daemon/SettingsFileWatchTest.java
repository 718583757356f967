package org.marjoramswitch.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsFileWatchTest {
    private static final long TIMEOUT_S = 20;

    @TempDir
    private Path directory;

    /**
     * An operator changes the file during the start, after the settings were read and before the first poll. The watch
     * must report the change; otherwise the instance would keep the previous settings indefinitely.
     */
    @Test
    void aChangeDuringTheStartIsReported() throws Exception {
        Path file = directory.resolve("settings.json");
        Files.writeString(file, "former");
        CountDownLatch reported = new CountDownLatch(1);
        try (SettingsFileWatch watch = SettingsFileWatch.of(file)) {
            Files.writeString(file, "newer");
            watch.start(reported::countDown);
            assertTrue(reported.await(TIMEOUT_S, TimeUnit.SECONDS));
        }
    }
}
