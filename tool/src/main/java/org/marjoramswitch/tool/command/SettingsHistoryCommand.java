package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.settings.DocumentName;
import org.marjoramswitch.tool.settings.History;
import org.marjoramswitch.tool.settings.SettingsView;

/** Prints the latest writes of a settings document. */
@Command(name = "history", description = "Shows the last writes of a settings document, newest first")
public final class SettingsHistoryCommand implements ToolCommand {
    @AirlineModule
    PlatformOptions platform = new PlatformOptions();

    @Required
    @Arguments(title = "team/document", description = "The document")
    List<String> arguments = new ArrayList<>();

    @Option(name = "--show", title = "change-id", description = "Print the document as this change wrote it")
    String changeId = "";

    @Override
    public ExitCode run(Console console) throws InterruptedException {
        DocumentArguments read = DocumentArguments.read(arguments, console);
        if (read == null) {
            return ExitCode.USAGE;
        }
        DocumentName name = read.name();
        return platform.withStore(console, store -> {
            List<History.Change> changes = SettingsView.of(store).history(name).changes();
            return changeId.isEmpty() ? list(console, changes) : show(console, changes);
        });
    }

    private ExitCode list(Console console, List<History.Change> changes) {
        if (platform.json()) {
            console.json(changes);
            return ExitCode.OK;
        }
        changes.forEach(change -> console.out()
                .println("at=" + Instant.ofEpochMilli(change.atMs()) + " change_id=" + change.changeId() + " operator="
                        + change.operator() + " bytes=" + change.json().length()));
        return ExitCode.OK;
    }

    private ExitCode show(Console console, List<History.Change> changes) {
        for (History.Change change : changes) {
            if (change.changeId().equals(changeId)) {
                console.out().println(change.json());
                return ExitCode.OK;
            }
        }
        console.fault(ErrorType.INPUT_INVALID, "the history holds no change " + changeId);
        return ExitCode.INVALID;
    }
}
