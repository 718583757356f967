package org.marjoramswitch.daemon.platform;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Shared context of the client's parts: their only thread, the clock, the options and the metrics. */
record GatewayRuntime(XnioIoThread ioThread, LongSupplier clock, KeyValueOptions options, PlatformMetrics metrics) {
    long nowMs() {
        return clock.getAsLong();
    }

    XnioExecutor.Key after(long delayMs, Runnable task) {
        return ioThread.executeAfter(task, Math.max(1, delayMs), TimeUnit.MILLISECONDS);
    }
}
