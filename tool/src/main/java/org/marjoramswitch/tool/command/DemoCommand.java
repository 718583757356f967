package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Discussion;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.demo.DemoRun;
import org.marjoramswitch.tool.demo.DemoSite;
import org.marjoramswitch.tool.load.LoadReportText;
import org.marjoramswitch.tool.load.Scenario;
import org.marjoramswitch.tool.load.ScenarioReader;

/** Runs a complete fleet with stand-in targets and a load in this process. */
@Command(name = "demo", description = "Runs a whole fleet with stand-ins and a short load in this process")
@Discussion(
        paragraphs = {
            "Starts nine instances in three data centres, the model engines and plain services of the site and a"
                    + " key-value service, puts the settings and lets 16 customers ask for more than the engines can"
                    + " give. Everything goes over sockets on the loopback interface.",
            "Ends with one line of what callers and targets counted. Exits with 0 where no request was lost or doubled"
                    + " and one at least was answered, with 1 otherwise."
        })
public final class DemoCommand implements ToolCommand {
    @Option(name = "--seconds", description = "How long the callers make requests; 10 by default")
    long seconds = 10;

    @Option(name = "--site", title = "thies|leith", description = "Which deployment's shape to take; thies by default")
    String siteName = "thies";

    @Option(name = "--report", description = "Print what each customer's callers saw before the last line")
    boolean report;

    @Option(name = "--json", description = "Print the result as JSON in place of the line")
    boolean json;

    @Override
    public ExitCode run(Console console) throws InterruptedException {
        DemoSite site = DemoSite.named(siteName);
        if (site == null || seconds <= 0) {
            console.fault(ErrorType.USAGE, site == null ? "no site is called " + siteName : "--seconds is below 1");
            return ExitCode.USAGE;
        }
        try {
            Scenario scenario = ScenarioReader.builtIn(site.name()).withSeconds(seconds);
            return report(console, DemoRun.of(site, scenario, console.err()).run());
        } catch (IOException noSockets) {
            throw new UncheckedIOException(noSockets);
        }
    }

    private ExitCode report(Console console, DemoRun.Result result) {
        if (result instanceof DemoRun.Result.NotStarted notStarted) {
            console.fault(ErrorType.DEMO_NOT_STARTED, notStarted.reason());
            return ExitCode.FAILED;
        }
        DemoRun.Result.Finished finished = (DemoRun.Result.Finished) result;
        if (report) {
            console.out().print(LoadReportText.of(finished.report()));
        }
        if (json) {
            console.json(finished);
        } else {
            console.out().println(finished.summary().line());
        }
        return finished.summary().isGood() ? ExitCode.OK : ExitCode.FAILED;
    }
}
