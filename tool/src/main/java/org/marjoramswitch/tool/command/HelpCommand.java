package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;

/** Prints the help text of the tool, of a group or of a command, and the exit codes. */
@Command(name = "help", description = "Shows what the tool or one of its commands does")
public final class HelpCommand implements ToolCommand {
    @AirlineModule
    @Nullable
    GlobalMetadata<ToolCommand> global;

    @Arguments(title = "command", description = "The command or group to explain")
    List<String> command = new ArrayList<>();

    @Override
    public ExitCode run(Console console) {
        GlobalMetadata<ToolCommand> metadata = global;
        if (metadata == null) {
            throw new IllegalStateException("not instantiated by Airline");
        }
        if (!command.isEmpty() && !isKnown(metadata, command.get(0))) {
            console.fault(ErrorType.USAGE, "there is no command " + command.get(0));
            return ExitCode.USAGE;
        }
        try {
            Help.help(metadata, command, console.out());
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
        if (command.isEmpty()) {
            printExitCodes(console);
        }
        return ExitCode.OK;
    }

    private static boolean isKnown(GlobalMetadata<ToolCommand> metadata, String name) {
        return metadata.getDefaultGroupCommands().stream()
                        .anyMatch(known -> known.getName().equals(name))
                || metadata.getCommandGroups().stream()
                        .anyMatch(group -> group.getName().equals(name));
    }

    private static void printExitCodes(Console console) {
        console.out().println("\nExit codes:");
        for (ExitCode code : ExitCode.values()) {
            console.out().printf("    %2d  %s%n", code.code(), code.meaning());
        }
    }
}
