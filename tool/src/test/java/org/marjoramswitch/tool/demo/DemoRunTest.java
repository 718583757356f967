package org.marjoramswitch.tool.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.tool.load.Scenario;
import org.marjoramswitch.tool.load.ScenarioReader;

class DemoRunTest {
    private static final int SECONDS = 3;

    // End-to-end test in one process: settings by compare-and-swap, acceptance, addresses, grants across instances,
    // streams, and non-repeatable calls, under more load than the engines can serve.
    @Test
    void answersEveryRequestOnce() throws Exception {
        DemoSite site = DemoSite.ALL.get(0);
        Scenario scenario = ScenarioReader.builtIn(site.name()).withSeconds(SECONDS);
        PrintStream nowhere = new PrintStream(OutputStream.nullOutputStream());
        DemoRun.Result.Finished finished = assertInstanceOf(
                DemoRun.Result.Finished.class,
                DemoRun.of(site, scenario, nowhere).run());
        DemoSummary summary = finished.summary();
        assertTrue(summary.isGood(), summary::line);
        assertEquals(summary.requests(), summary.answered() + summary.refusedNotRun() + summary.unknown());
        assertTrue(summary.controlBytes() > 0, summary::line);
        assertTrue(summary.utilisation() > 0, summary::line);
    }
}
