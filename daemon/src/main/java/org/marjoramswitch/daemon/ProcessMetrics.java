package org.marjoramswitch.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.marjoramswitch.daemon.log.QueueAppender;

/**
 * Registers metrics of the process: heap, resident memory, processor time and threads. The values come from the runtime
 * and {@code /proc}, because the management beans would use several megabytes of a small instance.
 */
final class ProcessMetrics {
    private static final Path STATM = Path.of("/proc/self/statm");
    private static final int RESIDENT_FIELD = 1;
    private static final long PAGE_BYTES = 4096;
    private static final long UNKNOWN = -1;

    private ProcessMetrics() {}

    /** @param processorMillicores processor limit of the process in thousandths of a core; 0 if unknown */
    static void register(MetricRegistry registry, int processorMillicores) {
        Runtime runtime = Runtime.getRuntime();
        gauge(registry, "heap_used_bytes", () -> runtime.totalMemory() - runtime.freeMemory());
        gauge(registry, "heap_max_bytes", runtime::maxMemory);
        gauge(registry, "resident_bytes", ProcessMetrics::residentBytes);
        gauge(registry, "cpu_ms", ProcessMetrics::cpuMs);
        gauge(registry, "processor_millicores", () -> (long) processorMillicores);
        gauge(registry, "threads", () -> (long) Thread.activeCount());
        gauge(registry, "log_lines_dropped", QueueAppender::dropped);
    }

    private static void gauge(MetricRegistry registry, String name, Gauge<Long> value) {
        registry.register(MetricRegistry.name("process", name), value);
    }

    private static long residentBytes() {
        try {
            String[] fields = Files.readString(STATM).trim().split(" ");
            return Long.parseLong(fields[RESIDENT_FIELD]) * PAGE_BYTES;
        } catch (IOException | RuntimeException unavailable) {
            return UNKNOWN;
        }
    }

    private static long cpuMs() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toMillis)
                .orElse(UNKNOWN);
    }
}
