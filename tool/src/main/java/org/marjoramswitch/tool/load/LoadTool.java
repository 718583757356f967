package org.marjoramswitch.tool.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.testkit.engine.EngineOptions;
import org.marjoramswitch.tool.http.CallerClient;

/** Runs a scenario over its own HTTP client, which is closed afterwards. */
public final class LoadTool {
    private static final int IO_THREADS = 2;

    private LoadTool() {}

    /**
     * @param direct whether the scenario's instances are targets, which serve no address requests
     * @param progress receives a line about once a second
     */
    public static LoadReport run(Scenario scenario, boolean direct, PrintStream progress)
            throws IOException, InterruptedException {
        List<HostPort> instances =
                scenario.instances().stream().map(HostPort::parse).toList();
        try (CallerClient client = CallerClient.start(IO_THREADS)) {
            AddressSource addresses = direct ? AddressSource.fixed(instances) : HttpAddressSource.of(client, instances);
            String runId = scenario.name() + "-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
            ResponseCheck responseCheck =
                    scenario.standInAnswers() ? StandInResponses.of(EngineOptions.defaults()) : ResponseCheck.none();
            return LoadRun.of(scenario, addresses, client, responseCheck, new ProgressPrinter(progress), runId)
                    .run();
        }
    }
}
