package org.marjoramswitch.tool.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.error.ErrorType;
import org.marjoramswitch.tool.Console;
import org.marjoramswitch.tool.ExitCode;
import org.marjoramswitch.tool.settings.DocumentName;

/**
 * Parsed arguments {@code team/document [file]}.
 *
 * @param document the file's JSON object; null if no file was given, or if it could not be read and a fault was printed
 * @param hasFile whether a file was given
 */
record DocumentArguments(DocumentName name, @Nullable ObjectNode document, boolean hasFile) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Parses the arguments; if they are invalid, prints a fault and returns null. */
    static @Nullable DocumentArguments read(List<String> arguments, Console console) {
        DocumentName name = arguments.isEmpty() ? null : DocumentName.parse(arguments.get(0));
        if (name == null || arguments.size() > 2) {
            console.fault(ErrorType.USAGE, "expected team/document and a file, not " + String.join(" ", arguments));
            return null;
        }
        if (arguments.size() == 1) {
            return new DocumentArguments(name, null, false);
        }
        return new DocumentArguments(name, readFile(arguments.get(1), console), true);
    }

    /** Returns the exit code for a command that requires a document if {@link #document} is null. */
    ExitCode exitCodeWithoutDocument() {
        return hasFile ? ExitCode.INVALID : ExitCode.USAGE;
    }

    private static @Nullable ObjectNode readFile(String file, Console console) {
        try {
            if (JSON.readTree(Files.readString(Path.of(file))) instanceof ObjectNode object) {
                return object;
            }
            console.fault(ErrorType.INPUT_INVALID, file + " holds no JSON object");
        } catch (JsonProcessingException malformed) {
            console.fault(ErrorType.INPUT_INVALID, file + ": " + malformed.getOriginalMessage());
        } catch (IOException unreadable) {
            console.fault(ErrorType.INPUT_INVALID, unreadable.toString());
        }
        return null;
    }
}
