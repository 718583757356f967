package org.marjoramswitch.daemon;

import java.net.BindException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.marjoramswitch.daemon.log.KeyValueLog;
import org.marjoramswitch.daemon.settings.LocalSettings;
import org.marjoramswitch.daemon.settings.LocalSettingsReader;
import org.marjoramswitch.daemon.settings.LocalSettingsResult;

/**
 * Main class of the daemon: {@code marjoramswitchd --settings FILE}. SIGTERM or SIGINT starts a graceful shutdown; a
 * second signal, or the deadline in the settings, ends it. {@link ExitCode} lists the exit statuses.
 */
public final class DaemonMain {
    /** Read by logback.xml; must be set before the first logger is created. */
    private static final String LOG_LEVEL_PROPERTY = "marjoramswitch.logLevel";

    private static final String SETTINGS_OPTION = "--settings";

    private DaemonMain() {}

    public static void main(String[] args) {
        System.exit(run(args).status());
    }

    static ExitCode run(String... args) {
        if (args.length != 2 || !args[0].equals(SETTINGS_OPTION)) {
            System.err.println("usage: marjoramswitchd " + SETTINGS_OPTION + " FILE");
            return ExitCode.USAGE;
        }
        SettingsFileWatch watch = SettingsFileWatch.of(Path.of(args[1]));
        LocalSettingsResult read = LocalSettingsReader.read(Path.of(args[1]));
        if (read instanceof LocalSettingsResult.Invalid invalid) {
            reportFaults(args[1], invalid);
            return ExitCode.SETTINGS_INVALID;
        }
        LocalSettings settings = ((LocalSettingsResult.Valid) read).settings();
        System.setProperty(LOG_LEVEL_PROPERTY, settings.logLevel());
        return serve(watch, () -> Daemon.start(settings));
    }

    private static void reportFaults(String file, LocalSettingsResult.Invalid invalid) {
        invalid.faults()
                .forEach(fault -> System.err.println(KeyValueLog.line(
                        "settings_fault", "file", file, "pointer", fault.pointer(), "reason", fault.reason())));
    }

    /**
     * Starts an instance and runs it until it has shut down.
     *
     * @param watch watches the file with the instance's local settings, which were read after the watch was created;
     *     the instance is notified of changes
     */
    public static ExitCode serve(SettingsFileWatch watch, Supplier<? extends RunningInstance> start) {
        KeyValueLog log = KeyValueLog.of(DaemonMain.class);
        // Registered before the start: the default action of a signal during the start would end the process.
        CompletableFuture<RunningInstance> started = new CompletableFuture<>();
        AtomicInteger signals = new AtomicInteger();
        ProcessSignals.handle(
                () -> onceStarted(started, instance -> onTermination(instance, signals.incrementAndGet())),
                () -> onceStarted(started, RunningInstance::reload));
        try (watch;
                RunningInstance instance = start.get()) {
            started.complete(instance);
            watch.start(instance::reload);
            return instance.drained().join() ? ExitCode.OK : ExitCode.CUT_SHORT;
        } catch (RuntimeException fault) {
            ExitCode exitCode = isAddressUnavailable(fault) ? ExitCode.ADDRESS_UNAVAILABLE : ExitCode.INTERNAL;
            log.error(fault, "daemon_failed", "exit", exitCode, "status", exitCode.status());
            return exitCode;
        }
    }

    private static void onceStarted(CompletableFuture<RunningInstance> started, Consumer<RunningInstance> handler) {
        CompletableFuture<Void> unused = started.thenAccept(handler);
    }

    private static void onTermination(RunningInstance instance, int count) {
        if (count == 1) {
            instance.drain();
        } else {
            instance.abortDrain();
        }
    }

    private static boolean isAddressUnavailable(Throwable fault) {
        for (Throwable cause = fault; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException) {
                return true;
            }
        }
        return false;
    }
}
