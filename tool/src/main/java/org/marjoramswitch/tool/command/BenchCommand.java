package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Discussion;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.testkit.bench.Bench;
import org.marjoramswitch.testkit.bench.BenchBounds;
import org.marjoramswitch.testkit.bench.BenchOptions;
import org.marjoramswitch.testkit.bench.BenchResult;
import org.marjoramswitch.testkit.bench.DecisionCost;
import org.marjoramswitch.testkit.bench.Measure;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;

/** Runs the benchmark of the kernel's decisions. */
@Command(name = "bench", description = "Runs the decisions against simple policies in virtual time")
@Discussion(
        paragraphs = {
            "Drives the kernel's real classes with fixed seeds, so that the same options give the same lines. One line"
                    + " for each case and policy; docs/MEASUREMENTS.md explains them."
        })
public final class BenchCommand implements ToolCommand {
    @Option(name = "--case", title = "name", description = "Only this case; may be repeated")
    List<String> cases = new ArrayList<>();

    @Option(name = "--seconds", description = "Measured virtual seconds of each run")
    int seconds = BenchOptions.DEFAULT_SECONDS;

    @Option(name = "--seed", description = "A seed to run with; may be repeated; 1 by default")
    List<Long> seeds = new ArrayList<>();

    @Option(name = "--bounds", description = "Run what the committed bounds name and hold the results to them")
    boolean bounds;

    @Option(name = "--json", description = "Print the results as JSON when all are there; lines go to standard error")
    boolean json;

    @Option(name = "--cost", description = "Only measure what decisions cost this machine, by role and size")
    boolean cost;

    @Override
    public ExitCode run(Console console) {
        if (cost) {
            DecisionCost.of(console.out()).run();
            return ExitCode.OK;
        }
        if (seconds < 1) {
            console.fault(ErrorType.USAGE, "--seconds is below 1");
            return ExitCode.USAGE;
        }
        List<BenchResult> results = Bench.run(options(json ? console.err() : console.out()));
        if (results.isEmpty()) {
            console.fault(ErrorType.USAGE, "no case has one of these names: " + String.join(", ", cases));
            return ExitCode.USAGE;
        }
        if (json) {
            console.json(results);
        }
        return isGood(console, results) ? ExitCode.OK : ExitCode.FAILED;
    }

    private BenchOptions options(PrintStream lines) {
        if (bounds) {
            BenchBounds committed = BenchBounds.load();
            return BenchOptions.of(committed.cases(), committed.seconds(), committed.seeds(), lines);
        }
        return BenchOptions.of(cases, seconds, seeds.isEmpty() ? List.of(1L) : seeds, lines);
    }

    private boolean isGood(Console console, List<BenchResult> results) {
        List<String> violations = bounds ? BenchBounds.load().violations(results) : List.of();
        violations.forEach(console.err()::println);
        return violations.isEmpty()
                && results.stream()
                        .allMatch(result -> result.value(Measure.LOST) == 0 && result.value(Measure.DOUBLED) == 0);
    }
}
