package org.marjoramswitch.testkit.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.PrintStream;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class BenchTest {
    @Test
    void selectionStaysWithinTheCommittedBounds() {
        BenchBounds bounds = BenchBounds.load();

        List<BenchResult> results =
                Bench.run(BenchOptions.of(bounds.cases(), bounds.seconds(), bounds.seeds(), System.out));

        assertEquals(
                bounds.cases(),
                results.stream().map(BenchResult::caseName).distinct().collect(Collectors.toList()));
        assertEquals(List.of(), bounds.violations(results));
    }

    @Test
    void everyBoundNamesAnExistingCase() {
        BenchBounds bounds = BenchBounds.load();

        assertEquals(
                List.of(),
                bounds.bounds().stream()
                        .map(BenchBounds.Bound::caseName)
                        .filter(name -> !Bench.caseNames().contains(name))
                        .collect(Collectors.toList()));
    }

    @Test
    void sameOptionsGiveTheSameResults() {
        BenchOptions options = BenchOptions.of(
                List.of("thies_partition"), 12, List.of(7L), new PrintStream(PrintStream.nullOutputStream()));

        assertEquals(Bench.run(options), Bench.run(options));
    }

    @Test
    void violatedBoundIsReported() {
        BenchOptions options = BenchOptions.of(
                List.of("thies_light"), 1, List.of(1L), new PrintStream(PrintStream.nullOutputStream()));
        BenchBounds.Bound tooStrict =
                new BenchBounds.Bound("thies_light", "roundrobin", "utilisation", null, 0.999, null);
        BenchBounds bounds = new BenchBounds(1, List.of(1L), List.of(), List.of(tooStrict));

        assertEquals(1, bounds.violations(Bench.run(options)).size());
    }
}
