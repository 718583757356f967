package org.marjoramswitch.kernel.action;

import java.util.Map;

/**
 * A routing or placement decision for the log.
 *
 * @param event the kind of decision
 * @param fields subject, reason and runners-up, in log order
 */
public record Decision(String event, Map<String, Object> fields) {
    /** @param keyValues alternating keys (strings) and values */
    public static Decision of(String event, Object... keyValues) {
        java.util.LinkedHashMap<String, Object> fields = new java.util.LinkedHashMap<>();
        for (int i = 0; i + 1 < keyValues.length; i += 2) {
            fields.put((String) keyValues[i], keyValues[i + 1]);
        }
        return new Decision(event, java.util.Collections.unmodifiableMap(fields));
    }
}
