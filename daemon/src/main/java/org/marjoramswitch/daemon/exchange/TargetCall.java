package org.marjoramswitch.daemon.exchange;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * HTTP request to be sent to the target that is granted.
 *
 * @param path includes the query string
 * @param headers only the headers that are forwarded to the target
 * @param streaming whether the caller requested server-sent events
 * @param callerWait until when the caller waits
 * @param startByNs {@link System#nanoTime} after which the call may not be sent any more; 0 if there is no limit
 * @param silenceMs maximum time without progress of the target; 0 for the pool's default
 * @param fetchFrom the target whose cached prompt parts are fetched before prefill; null if there is none
 */
@SuppressWarnings("ArrayRecordComponent") // calls are never compared, and the body is never copied
public record TargetCall(
        TargetKind kind,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean streaming,
        CallerWait callerWait,
        long startByNs,
        long silenceMs,
        @Nullable TargetSettings fetchFrom) {
    public static TargetCall of(
            TargetKind kind, String method, String path, Map<String, String> headers, byte[] body, boolean streaming) {
        return new TargetCall(kind, method, path, headers, body, streaming, CallerWait.unlimited(), 0, 0, null);
    }

    /** Returns a copy of this call with the caller's wait and a maximum time without progress of the target. */
    public TargetCall withTimeouts(CallerWait newCallerWait, long targetSilenceMs) {
        return new TargetCall(
                kind, method, path, headers, body, streaming, newCallerWait, startByNs, targetSilenceMs, fetchFrom);
    }

    /** Returns a copy of this call with the header added or replaced. */
    public TargetCall withHeader(String name, String value) {
        Map<String, String> changed = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        changed.putAll(headers);
        changed.put(name, value);
        return new TargetCall(
                kind, method, path, changed, body, streaming, callerWait, startByNs, silenceMs, fetchFrom);
    }

    /** Returns a copy of this call for a target that fetches cached prompt parts from {@code source}. */
    public TargetCall fetchingFrom(@Nullable TargetSettings source) {
        return new TargetCall(kind, method, path, headers, body, streaming, callerWait, startByNs, silenceMs, source);
    }

    /** Returns a copy of this call that may not be sent after {@code limitNs}; 0 for no limit. */
    public TargetCall startingBy(long limitNs) {
        return new TargetCall(kind, method, path, headers, body, streaming, callerWait, limitNs, silenceMs, fetchFrom);
    }

    /** Whether it is too late to send the call. */
    public boolean isStale(long nowNs) {
        return startByNs != 0 && nowNs - startByNs >= 0;
    }
}
