package org.marjoramswitch.tool.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Discussion;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.settings.DocumentDiff;
import org.marjoramswitch.tool.settings.DocumentName;
import org.marjoramswitch.tool.settings.SettingsView;
import org.marjoramswitch.tool.settings.SettingsView.UnavailableException;

/** Compares a settings document with a file or with its accepted version. */
@Command(name = "diff", description = "Shows what a file would change, or what is written but not in force")
@Discussion(
        paragraphs = {
            "With a file: from the written document to the file. Without one: from what is in force to the written"
                    + " document. A line begins with + for what is new, - for what goes, ~ for what changes."
        })
public final class SettingsDiffCommand implements ToolCommand {
    @AirlineModule
    PlatformOptions platform = new PlatformOptions();

    @Required
    @Arguments(
            title = {"team/document", "file"},
            description = "The document, and perhaps a file with its JSON")
    List<String> arguments = new ArrayList<>();

    @Override
    public ExitCode run(Console console) throws InterruptedException {
        DocumentArguments read = DocumentArguments.read(arguments, console);
        if (read == null) {
            return ExitCode.USAGE;
        }
        if (read.hasFile() && read.document() == null) {
            return ExitCode.INVALID;
        }
        return platform.withStore(console, store -> report(console, differences(SettingsView.of(store), read)));
    }

    private static List<DocumentDiff.Difference> differences(SettingsView view, DocumentArguments read)
            throws UnavailableException {
        DocumentName name = read.name();
        ObjectNode file = read.document();
        ObjectNode written = orEmpty(view.document(name).content());
        return file == null
                ? DocumentDiff.between(orEmpty(view.accepted(name)), written)
                : DocumentDiff.between(written, file);
    }

    private ExitCode report(Console console, List<DocumentDiff.Difference> differences) {
        if (platform.json()) {
            console.json(differences);
        } else {
            differences.forEach(console.out()::println);
        }
        return ExitCode.OK;
    }

    private static ObjectNode orEmpty(@Nullable ObjectNode node) {
        return node == null ? JsonNodeFactory.instance.objectNode() : node;
    }
}
