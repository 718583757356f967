package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Discussion;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.explain.Explanation;
import org.marjoramswitch.tool.explain.LogLine;

/** Explains from logs why a request was sent to its target or rejected. */
@Command(name = "explain", description = "Tells from the instances' logs why a request went where it did")
@Discussion(
        paragraphs = {
            "The request's id is the one in the answer's Request-Id header, or the caller's own. Give the log of the instance that the"
                    + " caller was connected to, and those of the others for the arbiter's reasons."
        })
public final class ExplainCommand implements ToolCommand {
    @Required
    @Arguments(
            title = {"request-id", "file"},
            description = "The request's id and the log files")
    List<String> arguments = new ArrayList<>();

    @Option(name = "--json", description = "Print the steps as JSON")
    boolean json;

    @Override
    public ExitCode run(Console console) {
        if (arguments.size() < 2) {
            console.fault(ErrorType.USAGE, "expected a request's id and one log file at least");
            return ExitCode.USAGE;
        }
        List<Explanation.Step> steps;
        try {
            steps = Explanation.of(arguments.get(0), read(arguments.subList(1, arguments.size())));
        } catch (IOException unreadable) {
            console.fault(ErrorType.INPUT_INVALID, unreadable.toString());
            return ExitCode.INVALID;
        }
        if (json) {
            console.json(steps);
        } else {
            steps.forEach(console.out()::println);
        }
        if (steps.isEmpty()) {
            console.fault(ErrorType.INPUT_INVALID, "no line of these files names request " + arguments.get(0));
        }
        return steps.isEmpty() ? ExitCode.INVALID : ExitCode.OK;
    }

    private static List<LogLine> read(List<String> files) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (String file : files) {
            Path path = Path.of(file);
            String source = String.valueOf(path.getFileName());
            try (Stream<String> fileLines = Files.lines(path)) {
                fileLines
                        .filter(text -> text.contains("event="))
                        .map(text -> LogLine.parse(source, text))
                        .forEach(lines::add);
            }
        }
        return lines;
    }
}
