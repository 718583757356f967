package org.marjoramswitch.tool.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.settings.DocumentName;
import org.marjoramswitch.tool.settings.SettingsCheck;
import org.marjoramswitch.tool.settings.SettingsView;

/** Checks a settings document without writing it. */
@Command(name = "check", description = "Checks a settings document as the acceptors will, and writes nothing")
public final class SettingsCheckCommand implements ToolCommand {
    @AirlineModule
    PlatformOptions platform = new PlatformOptions();

    @Required
    @Arguments(
            title = {"team/document", "file"},
            description = "The document's place, and the file with its JSON")
    List<String> arguments = new ArrayList<>();

    @Option(
            name = "--alone",
            description = "Check without the other documents, so that no platform's service is needed")
    boolean alone;

    @Override
    public ExitCode run(Console console) throws InterruptedException {
        DocumentArguments read = DocumentArguments.read(arguments, console);
        if (read == null) {
            return ExitCode.USAGE;
        }
        ObjectNode document = read.document();
        if (document == null) {
            return read.exitCodeWithoutDocument();
        }
        DocumentName name = read.name();
        if (alone) {
            return report(console, SettingsCheck.run(Map.of(), name, document));
        }
        return platform.withStore(
                console,
                store ->
                        report(console, SettingsCheck.run(SettingsView.of(store).drafts(""), name, document)));
    }

    private ExitCode report(Console console, SettingsCheck.Result result) {
        if (platform.json()) {
            console.json(result);
        } else {
            result.ownFaults().forEach(fault -> console.err().println(FaultLines.line("fault", fault)));
            result.otherFaults().forEach(fault -> console.err().println(FaultLines.line("other_teams_fault", fault)));
            console.out()
                    .println("event=settings_check faults=" + result.ownFaults().size() + " other_teams_faults="
                            + result.otherFaults().size());
        }
        return result.ownFaults().isEmpty() ? ExitCode.OK : ExitCode.INVALID;
    }
}
