package org.marjoramswitch.tool;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.marjoramswitch.kernel.error.ErrorType;

/** Entry point of the command-line tool: parses the options, runs one command and exits with its exit code. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        ExitCode code = run(Console.of(System.out, System.err), args);
        System.out.flush();
        System.exit(code.code());
    }

    /** Runs one command line and returns its exit code; never throws for an invalid command line. */
    public static ExitCode run(Console console, String... args) {
        try {
            return new Cli<ToolCommand>(CommandLine.class).parse(args).run(console);
        } catch (ParseException invalidUsage) {
            console.fault(ErrorType.USAGE, String.valueOf(invalidUsage.getMessage()));
            return ExitCode.USAGE;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            console.fault(ErrorType.INTERNAL, "interrupted");
            return ExitCode.INTERNAL;
        } catch (RuntimeException unexpected) {
            console.fault(ErrorType.INTERNAL, unexpected.toString());
            unexpected.printStackTrace(console.err());
            return ExitCode.INTERNAL;
        }
    }
}
