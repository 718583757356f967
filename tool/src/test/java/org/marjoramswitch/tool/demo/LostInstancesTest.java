package org.marjoramswitch.tool.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.daemon.Daemon;
import org.marjoramswitch.testkit.platform.KeyValueGateway;
import org.marjoramswitch.tool.http.CallerClient;
import org.marjoramswitch.tool.load.AttemptResult;
import org.marjoramswitch.tool.load.HttpAddressSource;
import org.marjoramswitch.tool.load.LoadReport;
import org.marjoramswitch.tool.load.LoadReportText;
import org.marjoramswitch.tool.load.LoadRun;
import org.marjoramswitch.tool.load.ProgressPrinter;
import org.marjoramswitch.tool.load.RequestOutcome;
import org.marjoramswitch.tool.load.RequestPlan;
import org.marjoramswitch.tool.load.Scenario;
import org.marjoramswitch.tool.load.ScenarioReader;
import org.marjoramswitch.tool.load.StandInResponses;

class LostInstancesTest {
    private static final long DRAIN_TIMEOUT_S = 60;
    private static final int SECONDS = 4;
    private static final int MAX_ATTEMPTS = 30;
    private static final int REQUESTS_BEFORE_KILL = 300;
    private static final int REQUESTS_BEFORE_DRAIN = 360;
    private static final PrintStream NOWHERE = new PrintStream(OutputStream.nullOutputStream());

    // Under full load one instance crashes and another one is drained. Callers of the first see their connections break
    // and retry with the same keys at other instances; callers of the second are redirected to other instances while
    // its running requests finish. Every repeatable request must be answered in the end, no other request may be
    // executed twice, and no request that was executed may be reported as not run.
    @Test
    void reportsCorrectOutcomesWhileInstancesCrashAndDrain() throws Exception {
        DemoSite site = DemoSite.ALL.get(0);
        Scenario scenario =
                ScenarioReader.builtIn(site.name()).withSeconds(SECONDS).withMaxAttempts(MAX_ATTEMPTS);
        try (KeyValueGateway platform = KeyValueGateway.start();
                DemoTargets targets = DemoTargets.start(site);
                DemoFleet fleet = DemoFleet.start(site, platform);
                CallerClient client = CallerClient.start(2)) {
            DemoRun run = DemoRun.of(site, scenario, NOWHERE);
            assertEquals("", run.putSettings(platform, targets));
            assertTrue(run.awaitInForce(platform, fleet));
            FaultInjector faults =
                    new FaultInjector(fleet.daemons().get(1), fleet.daemons().get(5));
            LoadReport report = LoadRun.of(
                            scenario,
                            HttpAddressSource.of(client, fleet.callers()),
                            client,
                            StandInResponses.of(DemoTargets.engineOptions()),
                            faults,
                            "lost")
                    .run();
            String text = LoadReportText.of(report);
            assertTrue(faults.killed.isDone(), text);
            assertTrue(faults.toDrain.drained().get(DRAIN_TIMEOUT_S, TimeUnit.SECONDS), text);
            assertEquals(Map.of(), faults.modelRequestsNotAnswered, text);
            assertEquals(0, report.lost(), text);
            assertEquals(0, targets.doubled(), text);
            assertEquals(0, targets.executed(faults.requests.refusedCalls()), text);
        }
    }

    /** Injects the faults after a fixed number of requests and records the model requests that were not answered. */
    private static final class FaultInjector implements org.marjoramswitch.tool.load.LoadListener {
        private final OutstandingRequests requests = new OutstandingRequests(new ProgressPrinter(NOWHERE));
        private final Map<String, String> modelRequestsNotAnswered = new TreeMap<>();
        private final CompletableFuture<Void> killed = new CompletableFuture<>();
        private final Daemon toKill;
        private final Daemon toDrain;
        private int made;

        FaultInjector(Daemon toKill, Daemon toDrain) {
            this.toKill = toKill;
            this.toDrain = toDrain;
        }

        @Override
        public void onRequest(RequestPlan plan) {
            requests.onRequest(plan);
            made++;
            if (made == REQUESTS_BEFORE_KILL) {
                Thread killer = new Thread(
                        () -> {
                            toKill.close();
                            killed.complete(null);
                        },
                        "killer");
                killer.start();
            }
            if (made == REQUESTS_BEFORE_DRAIN) {
                toDrain.drain();
            }
        }

        @Override
        public void onOutcome(RequestPlan plan, RequestOutcome outcome, AttemptResult last) {
            requests.onOutcome(plan, outcome, last);
            if (plan.kind() == RequestPlan.Kind.MODEL && outcome != RequestOutcome.ANSWERED) {
                modelRequestsNotAnswered.put(plan.requestId(), outcome + " " + last);
            }
        }

        @Override
        public void onProgress(long elapsedMs, long made, long ended, long outstanding) {}
    }
}
