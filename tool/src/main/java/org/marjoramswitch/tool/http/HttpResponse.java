package org.marjoramswitch.tool.http;

import java.util.Map;

/** A buffered response, for calls without streaming; {@code status} is 0 if no response head was read. */
public record HttpResponse(CallEnd end, int status, Map<String, String> headers, String body) {
    public boolean isOk() {
        return end == CallEnd.COMPLETE && status == 200;
    }
}
