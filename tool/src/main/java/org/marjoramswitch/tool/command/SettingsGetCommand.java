package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.settings.DocumentName;
import org.marjoramswitch.tool.settings.SettingsView;
import org.marjoramswitch.tool.settings.StoredDocument;

/** Prints a settings document. */
@Command(name = "get", description = "Prints a settings document, to be changed and put back")
public final class SettingsGetCommand implements ToolCommand {
    @AirlineModule
    PlatformOptions platform = new PlatformOptions();

    @Required
    @Arguments(title = "team/document", description = "The document")
    List<String> arguments = new ArrayList<>();

    @Override
    public ExitCode run(Console console) throws InterruptedException {
        DocumentArguments read = DocumentArguments.read(arguments, console);
        if (read == null) {
            return ExitCode.USAGE;
        }
        DocumentName name = read.name();
        return platform.withStore(console, store -> {
            StoredDocument document = SettingsView.of(store).document(name);
            if (!document.exists()) {
                console.fault(ErrorType.INPUT_INVALID, "there is no document " + name);
                return ExitCode.INVALID;
            }
            if (platform.json()) {
                console.json(document);
            } else {
                console.out().println(document.json());
            }
            return ExitCode.OK;
        });
    }
}
