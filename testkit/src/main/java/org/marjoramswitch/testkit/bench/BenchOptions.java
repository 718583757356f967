package org.marjoramswitch.testkit.bench;

import java.io.PrintStream;
import java.util.List;

/**
 * Selects what the benchmark runs.
 *
 * @param cases names of the cases, as in the result lines; empty for all
 * @param seconds measured seconds of virtual time per run
 * @param seeds seeds, one run each; a result line gives the worst value, or the sum of counts
 * @param out receives a line per case and policy
 */
public record BenchOptions(List<String> cases, int seconds, List<Long> seeds, PrintStream out) {
    public static final int DEFAULT_SECONDS = 20;

    public static BenchOptions of(List<String> cases, int seconds, List<Long> seeds, PrintStream out) {
        return new BenchOptions(List.copyOf(cases), seconds, List.copyOf(seeds), out);
    }

    /** All cases, one seed. */
    public static BenchOptions defaults(PrintStream out) {
        return of(List.of(), DEFAULT_SECONDS, List.of(1L), out);
    }

    boolean includes(String caseName) {
        return cases.isEmpty() || cases.contains(caseName);
    }
}
