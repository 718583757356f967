package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.marjoramswitch.daemon.platform.KeyValueOptions;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.settings.PlatformConnection;
import org.marjoramswitch.tool.settings.SettingsView.UnavailableException;

/** Options of the commands that access the platform's key-value store. */
public final class PlatformOptions {
    private static final String ENVIRONMENT = "MARJORAMSWITCH_PLATFORM";

    @Option(
            name = "--platform",
            title = "host:port",
            description = "Address of the platform's key-value service; may be repeated. Without it the environment"
                    + " variable " + ENVIRONMENT + " is read, addresses separated by commas")
    List<String> addresses = new ArrayList<>();

    @Option(name = "--json", description = "Print the result as JSON")
    boolean json;

    boolean json() {
        return json;
    }

    /** Work of a command on the key-value store. */
    @FunctionalInterface
    interface StoreAction {
        ExitCode run(KeyValueStore store) throws UnavailableException, InterruptedException;
    }

    /** Opens a connection, runs the action and closes it; prints faults and returns the exit code. */
    ExitCode withStore(Console console, StoreAction action) throws InterruptedException {
        List<HostPort> platform;
        try {
            platform = parse();
        } catch (IllegalArgumentException malformed) {
            console.fault(ErrorType.USAGE, "not host:port: " + malformed.getMessage());
            return ExitCode.USAGE;
        }
        if (platform.isEmpty()) {
            console.fault(ErrorType.USAGE, "no address of the platform's service: give --platform or " + ENVIRONMENT);
            return ExitCode.USAGE;
        }
        try (PlatformConnection connection = PlatformConnection.open(platform, KeyValueOptions.of(System.nanoTime()))) {
            return action.run(connection.store());
        } catch (UnavailableException unavailable) {
            console.fault(ErrorType.PLATFORM_UNAVAILABLE, String.valueOf(unavailable.getMessage()));
            return ExitCode.UNAVAILABLE;
        } catch (IOException cannotStart) {
            throw new UncheckedIOException(cannotStart);
        }
    }

    private List<HostPort> parse() {
        String fromEnvironment = System.getenv(ENVIRONMENT);
        List<String> texts =
                !addresses.isEmpty() || fromEnvironment == null ? addresses : List.of(fromEnvironment.split(","));
        return texts.stream().map(String::strip).map(HostPort::parse).toList();
    }
}
