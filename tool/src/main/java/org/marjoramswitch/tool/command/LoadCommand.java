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
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.load.LoadReport;
import org.marjoramswitch.tool.load.LoadReportText;
import org.marjoramswitch.tool.load.LoadTool;
import org.marjoramswitch.tool.load.Scenario;
import org.marjoramswitch.tool.load.ScenarioReader;

/** Runs a bounded load against a fleet or, with {@code --direct}, against targets. */
@Command(name = "load", description = "Puts a bounded load on a fleet and reports what the callers saw")
@Discussion(
        paragraphs = {
            "The scenario names the customers and what they do. Each caller asks GET /v1/address, keeps the answer,"
                    + " connects there and checks that each answer is whole and its own.",
            "Exits with 0 where no request was lost and one at least was answered, with 1 otherwise."
        })
public final class LoadCommand implements ToolCommand {
    @Required
    @Arguments(title = "scenario", description = "The scenario's JSON file")
    String scenarioFile = "";

    @Option(name = "--instance", description = "host:port of an instance, in place of the scenario's; may be repeated")
    List<String> instances = new ArrayList<>();

    @Option(name = "--seconds", description = "How long to make requests, in place of the scenario's time")
    long seconds;

    @Option(name = "--direct", description = "Take the instances for the targets themselves and ask for no address")
    boolean direct;

    @Option(name = "--json", description = "Print the report as JSON")
    boolean json;

    @Override
    public ExitCode run(Console console) throws InterruptedException {
        try {
            ScenarioReader.Result read = ScenarioReader.read(Files.readString(Path.of(scenarioFile)));
            if (read instanceof ScenarioReader.Result.Invalid invalid) {
                invalid.faults().forEach(fault -> console.fault(ErrorType.INPUT_INVALID, scenarioFile + " " + fault));
                return ExitCode.INVALID;
            }
            return load(console, ((ScenarioReader.Result.Valid) read).scenario());
        } catch (IOException unreadable) {
            console.fault(ErrorType.INPUT_INVALID, unreadable.toString());
            return ExitCode.INVALID;
        }
    }

    private ExitCode load(Console console, Scenario fromFile) throws IOException, InterruptedException {
        Scenario withInstances = instances.isEmpty() ? fromFile : fromFile.withInstances(instances);
        Scenario scenario = seconds > 0 ? withInstances.withSeconds(seconds) : withInstances;
        if (scenario.instances().isEmpty()) {
            console.fault(ErrorType.USAGE, "no instance is named, neither in the scenario nor by --instance");
            return ExitCode.USAGE;
        }
        LoadReport report = LoadTool.run(scenario, direct, console.err());
        if (json) {
            console.json(report);
        } else {
            console.out().print(LoadReportText.of(report));
        }
        return report.lost() == 0 && report.answered() > 0 ? ExitCode.OK : ExitCode.FAILED;
    }
}
