import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the JSON bodies that the instances send to the store. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parse(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    static long number(Map<String, Object> object, String field) {
        return object.get(field) instanceof Double number ? number.longValue() : 0;
    }

    static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char next : text.toCharArray()) {
            if (next == '"' || next == '\\') {
                quoted.append('\\').append(next);
            } else if (next < 0x20) {
                quoted.append(String.format("\\u%04x", (int) next));
            } else {
                quoted.append(next);
            }
        }
        return quoted.append('"').toString();
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private boolean take(char expected) {
        boolean found = peek() == expected;
        at += found ? 1 : 0;
        return found;
    }

    private Object value() {
        char next = peek();
        if (take('{')) {
            Map<String, Object> object = new LinkedHashMap<>();
            while (!take('}')) {
                take(',');
                String name = (String) value();
                take(':');
                object.put(name, value());
            }
            return object;
        }
        if (take('[')) {
            List<Object> list = new ArrayList<>();
            while (!take(']')) {
                take(',');
                list.add(value());
            }
            return list;
        }
        return next == '"' ? string() : literal();
    }

    private String string() {
        at++;
        StringBuilder read = new StringBuilder();
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                read.append(next);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> read.append('\n');
                case 't' -> read.append('\t');
                case 'r' -> read.append('\r');
                case 'b' -> read.append('\b');
                case 'f' -> read.append('\f');
                case 'u' -> {
                    read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> read.append(escaped);
            }
        }
        at++;
        return read.toString();
    }

    private Object literal() {
        int from = at;
        while (at < text.length() && ",]} \n\t\r".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.parseDouble(word);
        };
    }
}
