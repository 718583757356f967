package org.marjoramswitch.tool.http;

import java.util.Map;

/**
 * Receives the events of one call, in order, on the connection's I/O thread: at most one head, any number of byte
 * chunks, and exactly one end. Where no connection was opened, the end may be reported on another thread.
 * Implementations must not block.
 */
public interface CallListener {
    /** @param headers by lower-case name; only the first value of a repeated header */
    void onHead(int status, Map<String, String> headers);

    void onBytes(byte[] bytes);

    void onEnd(CallEnd end);
}
