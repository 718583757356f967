package org.marjoramswitch.testkit.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.marjoramswitch.kernel.KernelOptions;

/** Runs the benchmark cases with every policy on the same load. Deterministic: equal options give identical results. */
public final class Bench {
    private static final Map<String, Function<BenchRun, Router>> POLICIES = policies();
    private static final Map<String, Function<BenchRun, Router>> FLEET_ONLY =
            Map.of(FleetRouter.POLICY, FleetRouter::create);
    private static final Map<String, Function<BenchRun, Router>> VARIANTS = variants();
    private static final int SCALE_SECONDS = 4;

    private Bench() {}

    /** Returns the names of all cases in execution order. */
    public static List<String> caseNames() {
        return plan().stream().map(planned -> planned.benchCase().name()).toList();
    }

    /** Runs the selected cases and prints a line for each result when it is available. */
    public static List<BenchResult> run(BenchOptions options) {
        List<BenchResult> results = new ArrayList<>();
        for (Planned planned : plan()) {
            if (options.includes(planned.benchCase().name())) {
                runCase(planned, options, results);
            }
        }
        return results;
    }

    private static List<Planned> plan() {
        List<Planned> plan = new ArrayList<>();
        for (BenchShape shape : List.of(BenchShape.THIES, BenchShape.LEITH)) {
            for (BenchCase benchCase : casesOf(shape)) {
                plan.add(Planned.of(benchCase.named(shape.name() + "_" + benchCase.name()), POLICIES));
            }
        }
        BenchCase uneven = BenchCases.uneven(BenchShape.THIES);
        for (int cellTargets : BenchCases.CELL_SIZES) {
            BenchCase curve = uneven.withCellTargets(cellTargets).named("cells_of_" + cellTargets);
            plan.add(Planned.of(curve, FLEET_ONLY));
        }
        plan.add(Planned.of(uneven.named("options_uneven"), VARIANTS));
        plan.add(Planned.of(BenchCases.flood(BenchShape.THIES).named("options_flood"), VARIANTS));
        for (int instances : BenchCases.SCALES) {
            plan.add(new Planned(BenchCases.scale(instances), FLEET_ONLY, SCALE_SECONDS));
        }
        return plan;
    }

    private static List<BenchCase> casesOf(BenchShape shape) {
        return List.of(
                BenchCases.steady(shape),
                BenchCases.uneven(shape),
                BenchCases.light(shape),
                BenchCases.withoutFlood(shape),
                BenchCases.flood(shape),
                BenchCases.arbiterKilled(shape),
                BenchCases.arbiterPaused(shape),
                BenchCases.arbiterLeaving(shape),
                BenchCases.partition(shape));
    }

    private static void runCase(Planned planned, BenchOptions options, List<BenchResult> results) {
        planned.policies().forEach((policy, factory) -> {
            BenchResult result = compareWithoutFlood(runSeeds(planned, policy, factory, options), results);
            options.out().println(result.line());
            options.out().flush();
            results.add(result);
        });
    }

    /**
     * Adds to the result of a flood case the ratios to the result without the flood of the same policy and shape, if
     * that case was run before.
     */
    private static BenchResult compareWithoutFlood(BenchResult result, List<BenchResult> previous) {
        if (!result.caseName().endsWith("_flood")) {
            return result;
        }
        return previous.stream()
                .filter(other -> other.caseName().equals(result.caseName() + "_absent"))
                .filter(other -> other.policy().equals(result.policy()))
                .findFirst()
                .map(result::comparedTo)
                .orElse(result);
    }

    private static BenchResult runSeeds(
            Planned planned, String policy, Function<BenchRun, Router> factory, BenchOptions options) {
        int seconds = Math.min(planned.maxSeconds(), options.seconds());
        return options.seeds().stream()
                .map(seed -> BenchRun.create(planned.benchCase(), policy, factory, seed)
                        .run(seconds))
                .reduce(BenchResult::merge)
                .orElseThrow();
    }

    private static Map<String, Function<BenchRun, Router>> policies() {
        Map<String, Function<BenchRun, Router>> policies = new LinkedHashMap<>();
        policies.put(FleetRouter.POLICY, FleetRouter::create);
        policies.put("independent", IndependentRouter::create);
        policies.put("roundrobin", RoundRobinRouter::create);
        return policies;
    }

    /** The fleet policy with kernel options that differ from the defaults. */
    private static Map<String, Function<BenchRun, Router>> variants() {
        KernelOptions defaults = KernelOptions.defaults();
        Map<String, Function<BenchRun, Router>> variants = new LinkedHashMap<>();
        variants.put(FleetRouter.POLICY, FleetRouter::create);
        variants.put("fleet_ahead_1", run -> FleetRouter.create(run, defaults.withAdmitAhead(1)));
        variants.put("fleet_ahead_2", run -> FleetRouter.create(run, defaults.withAdmitAhead(2)));
        variants.put("fleet_step_50", run -> FleetRouter.create(run, defaults.withProgressStepTokens(50)));
        variants.put("fleet_step_100", run -> FleetRouter.create(run, defaults.withProgressStepTokens(100)));
        variants.put("fleet_charges_1000", run -> FleetRouter.create(run, defaults.withChargesIntervalMs(1_000)));
        return variants;
    }

    /**
     * A case to run.
     *
     * @param maxSeconds upper limit on the measured seconds, regardless of the options
     */
    private record Planned(BenchCase benchCase, Map<String, Function<BenchRun, Router>> policies, int maxSeconds) {
        private static Planned of(BenchCase benchCase, Map<String, Function<BenchRun, Router>> policies) {
            return new Planned(benchCase, policies, Integer.MAX_VALUE);
        }
    }
}
