package org.marjoramswitch.tool.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Compares two documents by content, ignoring formatting and change ids. */
public final class DocumentDiff {
    private DocumentDiff() {}

    /** A difference at a JSON pointer; {@code before} or {@code after} is empty if that document has no value there. */
    public record Difference(String pointer, String before, String after) {
        @Override
        public String toString() {
            if (before.isEmpty()) {
                return "+ " + pointer + " " + after;
            }
            return after.isEmpty() ? "- " + pointer + " " + before : "~ " + pointer + " " + before + " -> " + after;
        }
    }

    /** Returns the differences in the order of their pointers. */
    public static List<Difference> between(ObjectNode before, ObjectNode after) {
        List<Difference> found = new ArrayList<>();
        compare("", DocumentJson.content(before), DocumentJson.content(after), found);
        return found;
    }

    private static void compare(String pointer, JsonNode before, JsonNode after, List<Difference> found) {
        if (before.equals(after)) {
            return;
        }
        if (!before.isObject() || !after.isObject()) {
            found.add(new Difference(pointer, text(before), text(after)));
            return;
        }
        TreeSet<String> names = new TreeSet<>();
        before.fieldNames().forEachRemaining(names::add);
        after.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            String escaped = name.replace("~", "~0").replace("/", "~1");
            compare(pointer + "/" + escaped, before.path(name), after.path(name), found);
        }
    }

    private static String text(JsonNode node) {
        return node.isMissingNode() ? "" : node.toString();
    }
}
