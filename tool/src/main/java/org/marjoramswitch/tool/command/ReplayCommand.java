package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Discussion;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.replay.Replay;

/** Replays a recording of kernel events. */
@Command(name = "replay", description = "Runs an instance's recorded events through its decisions again")
@Discussion(
        paragraphs = {
            "An instance records where its settings file names a recordFile. The same recording gives the same bytes"
                    + " every time."
        })
public final class ReplayCommand implements ToolCommand {
    @Required
    @Arguments(title = "file", description = "The recording, JSON lines")
    String file = "";

    @Option(name = "--json", description = "Print only the summary, as JSON")
    boolean json;

    @Override
    public ExitCode run(Console console) {
        try (BufferedReader recording = Files.newBufferedReader(Path.of(file))) {
            Replay.Summary summary = Replay.run(recording, json ? line -> {} : console.out()::println);
            if (json) {
                console.json(summary);
            } else {
                console.out().println(summary.line());
            }
            return ExitCode.OK;
        } catch (IOException unreadable) {
            console.fault(ErrorType.INPUT_INVALID, file + ": " + unreadable.getMessage());
            return ExitCode.INVALID;
        }
    }
}
