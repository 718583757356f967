package org.marjoramswitch.tool.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Discussion;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.ToolCommand;
import org.marjoramswitch.tool.settings.DocumentName;
import org.marjoramswitch.tool.settings.PutResult;
import org.marjoramswitch.tool.settings.SettingsCheck;
import org.marjoramswitch.tool.settings.SettingsView;
import org.marjoramswitch.tool.settings.SettingsView.UnavailableException;
import org.marjoramswitch.tool.settings.SettingsWriter;

/** Writes a settings document unless someone else has changed it since it was read. */
@Command(name = "put", description = "Writes a settings document where nobody else has changed it")
@Discussion(
        paragraphs = {
            "The file's changeId, as 'settings get' gave it, names the version that was changed. Where the stored"
                    + " document is another one by now, nothing is written and the exit code is 4. A file without a"
                    + " changeId makes a new document.",
            "The document is checked first as the acceptors will check it. An answer of the platform's service that is"
                    + " lost is settled by reading back."
        })
public final class SettingsPutCommand implements ToolCommand {
    private static final long PAUSE_MS = 200;

    @AirlineModule
    PlatformOptions platform = new PlatformOptions();

    @Required
    @Arguments(
            title = {"team/document", "file"},
            description = "The document, and the file with its JSON")
    List<String> arguments = new ArrayList<>();

    @Option(name = "--replace", description = "Write over whatever version is there")
    boolean replace;

    @Option(name = "--operator", title = "name", description = "Who is named in the history; the login name by default")
    String operator = System.getProperty("user.name", "unknown");

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
        return platform.withStore(console, store -> put(console, store, read.name(), document));
    }

    private ExitCode put(Console console, KeyValueStore store, DocumentName name, ObjectNode document)
            throws UnavailableException, InterruptedException {
        SettingsCheck.Result check = SettingsCheck.run(SettingsView.of(store).drafts(""), name, document);
        if (!check.ownFaults().isEmpty()) {
            check.ownFaults().forEach(fault -> console.err().println(FaultLines.line("fault", fault)));
            return ExitCode.INVALID;
        }
        String base = replace ? null : document.path("changeId").asText("");
        SettingsWriter writer = SettingsWriter.of(store, attempt -> Thread.sleep(PAUSE_MS * attempt));
        return report(console, name, writer.put(request(name, document, base)));
    }

    private SettingsWriter.Put request(DocumentName name, ObjectNode document, @Nullable String base) {
        String changeId = UUID.randomUUID().toString();
        return new SettingsWriter.Put(name, document, base, changeId, operator, System.currentTimeMillis());
    }

    private ExitCode report(Console console, DocumentName name, PutResult result) {
        if (platform.json()) {
            console.json(result);
        }
        if (result instanceof PutResult.Written written) {
            if (!platform.json()) {
                console.out()
                        .println("event=settings_put document=" + name + " change_id=" + written.changeId()
                                + " settled_by_reading=" + written.settledByReading());
            }
            return ExitCode.OK;
        }
        if (result instanceof PutResult.Conflict conflict) {
            String stored = conflict.found().exists()
                    ? "changeId " + conflict.found().changeId() + " revision "
                            + conflict.found().modRevision()
                    : "no document";
            console.fault(
                    ErrorType.SETTINGS_WRITE_LOST,
                    name + ", where now is " + stored + "; get it and make the change again");
            return ExitCode.CONFLICT;
        }
        if (result instanceof PutResult.OutcomeUnknown unknown) {
            console.fault(
                    ErrorType.PLATFORM_UNAVAILABLE,
                    unknown.reason() + "; whether change " + unknown.changeId()
                            + " took effect shows in 'settings history'");
            return ExitCode.OUTCOME_UNKNOWN;
        }
        console.fault(ErrorType.PLATFORM_UNAVAILABLE, ((PutResult.Unavailable) result).reason());
        return ExitCode.UNAVAILABLE;
    }
}
