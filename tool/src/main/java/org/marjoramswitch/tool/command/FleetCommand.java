package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.fleet.FleetReader;
import org.marjoramswitch.tool.fleet.FleetStatus;

/** Prints the status of the instances, targets and arbiters. */
@Command(name = "fleet", description = "Shows the instances, the targets and which instance arbitrates which cell")
public final class FleetCommand implements ToolCommand {
    @AirlineModule
    PlatformOptions platform = new PlatformOptions();

    @Override
    public ExitCode run(Console console) throws InterruptedException {
        return platform.withStore(console, store -> {
            FleetStatus status = FleetReader.query(
                    store,
                    (view, reader) -> FleetStatus.of(reader.settings(), reader.instances(), reader.targetStates()));
            if (platform.json()) {
                console.json(status);
            } else {
                print(console, status);
            }
            return ExitCode.OK;
        });
    }

    private static void print(Console console, FleetStatus status) {
        status.instances().forEach(instance -> console.out().println(InstanceLines.line(instance)));
        status.targets()
                .forEach(target -> console.out()
                        .println("target=" + target.target() + " pool=" + target.pool() + " address="
                                + target.address() + " data_centre=" + target.dataCentre() + " slots="
                                + target.slots() + " listed=" + target.listed() + " cell=" + target.cell()));
        status.cells()
                .forEach(cell -> console.out()
                        .println("cell=" + cell.cell() + " targets=" + cell.targets() + " arbiter=" + cell.arbiter()));
    }
}
