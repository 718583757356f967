package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Discussion;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.fleet.FleetReader;
import org.marjoramswitch.tool.fleet.SettingsStatus;

/** Prints the generation in force on each instance, and the pending and rejected drafts. */
@Command(name = "status", description = "Shows which generation is in force on which instance, and refused drafts")
@Discussion(
        paragraphs = {
            "Exits with 0 where every instance that answers has the accepted generation in force and no draft is"
                    + " refused or still to be accepted, with 1 otherwise."
        })
public final class SettingsStatusCommand implements ToolCommand {
    @AirlineModule
    PlatformOptions platform = new PlatformOptions();

    @Override
    public ExitCode run(Console console) throws InterruptedException {
        return platform.withStore(console, store -> {
            SettingsStatus status =
                    FleetReader.query(store, (view, reader) -> SettingsStatus.read(view, reader.instances()));
            if (platform.json()) {
                console.json(status);
            } else {
                print(console, status);
            }
            return status.isSettled() ? ExitCode.OK : ExitCode.FAILED;
        });
    }

    private static void print(Console console, SettingsStatus status) {
        console.out().println("accepted_generation=" + status.acceptedGeneration());
        status.instances().forEach(instance -> console.out().println(InstanceLines.line(instance)));
        status.pending().forEach(document -> console.out().println("pending_document=" + document));
        status.refused().forEach(fault -> console.out().println(FaultLines.line("refused", fault)));
    }
}
