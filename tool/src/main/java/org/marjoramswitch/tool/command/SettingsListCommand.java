package org.marjoramswitch.tool.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.List;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.settings.SettingsView;

/** Lists the settings documents. */
@Command(name = "list", description = "Lists the settings documents of all teams or of one")
public final class SettingsListCommand implements ToolCommand {
    @AirlineModule
    PlatformOptions platform = new PlatformOptions();

    @Arguments(title = "team", description = "Only this team's documents")
    String team = "";

    @Override
    public ExitCode run(Console console) throws InterruptedException {
        return platform.withStore(console, store -> {
            List<SettingsView.Listed> documents = SettingsView.of(store).list(team);
            if (platform.json()) {
                console.json(documents);
                return ExitCode.OK;
            }
            documents.forEach(listed -> console.out()
                    .println("document=" + listed.document() + " revision=" + listed.modRevision() + " change_id="
                            + listed.changeId() + " bytes=" + listed.bytes()));
            return ExitCode.OK;
        });
    }
}
