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
 * @param deadlineNs {@link System#nanoTime} at which the caller's timeout expires; 0 if there is none
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
        long deadlineNs,
        long startByNs,
        long silenceMs,
        @Nullable TargetSettings fetchFrom) {
    private static final long NS_PER_MS = 1_000_000;

    public static TargetCall of(
            TargetKind kind, String method, String path, Map<String, String> headers, byte[] body, boolean streaming) {
        return new TargetCall(kind, method, path, headers, body, streaming, 0, 0, 0, null);
    }

    /** Returns a copy of this call with a deadline and a maximum time without progress of the target. */
    public TargetCall withTimeouts(long callDeadlineNs, long targetSilenceMs) {
        return new TargetCall(
                kind, method, path, headers, body, streaming, callDeadlineNs, startByNs, targetSilenceMs, fetchFrom);
    }

    /** Returns a copy of this call with the header added or replaced. */
    public TargetCall withHeader(String name, String value) {
        Map<String, String> changed = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        changed.putAll(headers);
        changed.put(name, value);
        return new TargetCall(
                kind, method, path, changed, body, streaming, deadlineNs, startByNs, silenceMs, fetchFrom);
    }

    /** Returns a copy of this call for a target that fetches cached prompt parts from {@code source}. */
    public TargetCall fetchingFrom(@Nullable TargetSettings source) {
        return new TargetCall(kind, method, path, headers, body, streaming, deadlineNs, startByNs, silenceMs, source);
    }

    /** Returns a copy of this call that may not be sent after {@code limitNs}; 0 for no limit. */
    public TargetCall startingBy(long limitNs) {
        return new TargetCall(kind, method, path, headers, body, streaming, deadlineNs, limitNs, silenceMs, fetchFrom);
    }

    /** Whether it is too late to send the call. */
    public boolean isStale(long nowNs) {
        return startByNs != 0 && nowNs - startByNs >= 0;
    }

    /** Whether the caller's timeout has expired. */
    public boolean isExpired(long nowNs) {
        return deadlineNs != 0 && nowNs - deadlineNs >= 0;
    }

    /** Time until the caller's timeout expires, at least 1 ms; 0 if the caller gave none. */
    public long remainingMs(long nowNs) {
        return deadlineNs == 0 ? 0 : Math.max(1, (deadlineNs - nowNs) / NS_PER_MS);
    }
}
