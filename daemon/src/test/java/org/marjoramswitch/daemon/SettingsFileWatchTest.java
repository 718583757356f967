package org.marjoramswitch.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsFileWatchTest {
    private static final long PATIENCE_S = 20;

    @TempDir
    private Path directory;

    /**
     * An operator changes the file while the instance starts, after its settings were read and before the watch looks for
     * the first time. The instance hears of it all the same; it would go on with the former settings for good.
     */
    @Test
    void aChangeDuringTheStartIsSeen() throws Exception {
        Path file = directory.resolve("settings.json");
        Files.writeString(file, "former");
        CountDownLatch seen = new CountDownLatch(1);
        try (SettingsFileWatch watch = SettingsFileWatch.of(file)) {
            Files.writeString(file, "newer");
            watch.start(seen::countDown);
            assertTrue(seen.await(PATIENCE_S, TimeUnit.SECONDS));
        }
    }
}
