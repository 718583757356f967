package org.marjoramswitch.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import org.marjoramswitch.kernel.error.ErrorType;

/** Output streams of a command: the result goes to {@code out}, progress and faults to {@code err}. */
public record Console(PrintStream out, PrintStream err) {
    private static final ObjectMapper JSON = new ObjectMapper()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    public static Console of(PrintStream out, PrintStream err) {
        return new Console(out, err);
    }

    /** Prints a value as indented JSON. */
    public void json(Object value) {
        try {
            out.println(JSON.writeValueAsString(value));
        } catch (JsonProcessingException notWritable) {
            throw new UncheckedIOException(notWritable);
        }
    }

    /** Prints a fault to {@code err} as a line of key=value pairs. */
    public void fault(ErrorType type, String detail) {
        err.println("event=fault error=" + type.name() + " number=" + type.number() + " detail=\""
                + type.message(detail).replace('"', '\'') + "\"");
    }
}
