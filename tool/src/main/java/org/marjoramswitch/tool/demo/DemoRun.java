package org.marjoramswitch.tool.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.marjoramswitch.daemon.platform.KeyValueOptions;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.testkit.platform.KeyValueGateway;
import org.marjoramswitch.tool.fleet.FleetReader;
import org.marjoramswitch.tool.fleet.SettingsStatus;
import org.marjoramswitch.tool.http.CallerClient;
import org.marjoramswitch.tool.load.HttpAddressSource;
import org.marjoramswitch.tool.load.LoadReport;
import org.marjoramswitch.tool.load.LoadRun;
import org.marjoramswitch.tool.load.ProgressPrinter;
import org.marjoramswitch.tool.load.Scenario;
import org.marjoramswitch.tool.load.StandInResponses;
import org.marjoramswitch.tool.settings.DocumentName;
import org.marjoramswitch.tool.settings.PlatformConnection;
import org.marjoramswitch.tool.settings.PutResult;
import org.marjoramswitch.tool.settings.SettingsView;
import org.marjoramswitch.tool.settings.SettingsView.UnavailableException;
import org.marjoramswitch.tool.settings.SettingsWriter;

/**
 * Runs a demo: starts the platform, targets and instances, writes the settings the way an operator does, runs a load
 * against the fleet and summarises the counts of callers and targets.
 */
public final class DemoRun {
    private static final long READY_TIMEOUT_MS = 60_000;
    private static final long POLL_MS = 100;
    private static final long SAMPLE_MS = 50;
    private static final int IO_THREADS = 2;

    private final DemoSite site;
    private final Scenario scenario;
    private final PrintStream progress;

    private DemoRun(DemoSite site, Scenario scenario, PrintStream progress) {
        this.site = site;
        this.scenario = scenario;
        this.progress = progress;
    }

    /** @param progress receives a line for each step and about once a second */
    public static DemoRun of(DemoSite site, Scenario scenario, PrintStream progress) {
        return new DemoRun(site, scenario, progress);
    }

    /** How a demo ended. */
    public sealed interface Result {
        /** @param report the results as the callers observed them */
        record Finished(DemoSummary summary, LoadReport report) implements Result {}

        record NotStarted(String reason) implements Result {}
    }

    public Result run() throws IOException, InterruptedException {
        try (KeyValueGateway platform = KeyValueGateway.start();
                DemoTargets targets = DemoTargets.start(site);
                DemoFleet fleet = DemoFleet.start(site, platform)) {
            progress.println("event=demo_started site=" + site.name() + " instances=" + site.instances() + " engines="
                    + site.engines() + " services=" + site.services() + " data_centres="
                    + site.dataCentres().size() + " slots=" + targets.slots() + " platform=" + platform.host() + ":"
                    + platform.port());
            String failure = putSettings(platform, targets);
            if (!failure.isEmpty()) {
                return new Result.NotStarted("settings: " + failure);
            }
            if (!awaitInForce(platform, fleet)) {
                return new Result.NotStarted("the settings are not in force after " + READY_TIMEOUT_MS + " ms");
            }
            progress.println("event=demo_ready");
            return load(targets, fleet);
        }
    }

    /**
     * Waits until every instance is connected to all others and has all documents in force; returns false on timeout.
     * The readiness of the instances is not sufficient: an instance is ready with its first generation, which may
     * contain only one of the two documents, so that the callers' API keys would still be unknown.
     */
    boolean awaitInForce(KeyValueGateway platform, DemoFleet fleet) throws IOException, InterruptedException {
        List<HostPort> addresses = List.of(HostPort.of(platform.host(), platform.port()));
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        try (PlatformConnection connection = PlatformConnection.open(addresses, KeyValueOptions.of(1));
                CallerClient client = CallerClient.start(1)) {
            SettingsView view = SettingsView.of(connection.store());
            while (!fleet.isReady() || !isSettled(view, FleetReader.of(view, client))) {
                if (System.nanoTime() - deadlineNs > 0) {
                    return false;
                }
                Thread.sleep(POLL_MS);
            }
            return true;
        }
    }

    private static boolean isSettled(SettingsView view, FleetReader reader) {
        try {
            return SettingsStatus.read(view, reader.instances()).isSettled();
        } catch (UnavailableException unavailable) {
            return false;
        }
    }

    /** Writes both documents; returns an empty text on success, otherwise the reasons for the failure. */
    String putSettings(KeyValueGateway platform, DemoTargets targets) throws IOException, InterruptedException {
        DocumentWriter customers = DocumentWriter.create();
        scenario.customers().forEach(customer -> customers.customer(customer.customer(), customer.apiKey()));
        List<HostPort> addresses = List.of(HostPort.of(platform.host(), platform.port()));
        try (PlatformConnection connection = PlatformConnection.open(addresses, KeyValueOptions.of(1))) {
            SettingsWriter writer = SettingsWriter.of(connection.store(), attempt -> Thread.sleep(SAMPLE_MS));
            String targetsFailure = put(writer, new DocumentName("targets", site.name()), targets.document(site));
            String customersFailure = put(writer, new DocumentName("customers", site.name()), customers.document());
            return targetsFailure + customersFailure;
        }
    }

    private static String put(SettingsWriter writer, DocumentName name, ObjectNode document)
            throws InterruptedException {
        PutResult result = writer.put(
                new SettingsWriter.Put(name, document, "", "demo-" + name.team(), "demo", System.currentTimeMillis()));
        return result instanceof PutResult.Written ? "" : name + " " + result;
    }

    private Result load(DemoTargets targets, DemoFleet fleet) throws IOException, InterruptedException {
        OutstandingRequests outstanding = new OutstandingRequests(new ProgressPrinter(progress));
        DemoMeter meter = DemoMeter.create(targets.slots(), DemoSample.of(targets.counts(), outstanding.byCustomer()));
        ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();
        long controlBytesBefore = fleet.controlBytes();
        try (CallerClient client = CallerClient.start(IO_THREADS)) {
            long startedNs = System.nanoTime();
            var unused = sampler.scheduleWithFixedDelay(
                    () -> meter.addSample(
                            DemoSample.of(targets.counts(), outstanding.byCustomer()),
                            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs)),
                    SAMPLE_MS,
                    SAMPLE_MS,
                    TimeUnit.MILLISECONDS);
            LoadReport report = LoadRun.of(
                            scenario,
                            HttpAddressSource.of(client, fleet.callers()),
                            client,
                            StandInResponses.of(DemoTargets.engineOptions()),
                            outstanding,
                            "demo")
                    .run();
            sampler.shutdown();
            sampler.awaitTermination(READY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            long controlBytes = fleet.controlBytes() - controlBytesBefore;
            progress.println("event=demo_gap tokens=" + meter.gapTokens() + " customers=" + meter.gapBetween());
            long falselyNotRun = targets.executed(outstanding.refusedCalls());
            return new Result.Finished(summary(report, targets, falselyNotRun, meter, controlBytes), report);
        } finally {
            sampler.shutdownNow();
        }
    }

    private static DemoSummary summary(
            LoadReport report, DemoTargets targets, long falselyNotRun, DemoMeter meter, long controlBytes) {
        return new DemoSummary(
                report.requests(),
                report.answered(),
                report.refusedNotRun(),
                report.unknown() + report.broken(),
                report.lost(),
                targets.doubled(),
                falselyNotRun,
                meter.utilisation(),
                meter.gapTokens(),
                controlBytes);
    }
}
