package org.marjoramswitch.daemon.exchange;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * The HTTP request to be sent to whichever target is granted.
 *
 * @param path with the query string
 * @param headers only those that go on to the target
 * @param streaming whether the caller asked for server-sent events
 * @param deadlineNs of {@link System#nanoTime}, after which the caller waits no longer; 0 where it did not say
 * @param silenceMs how long a target may be silent, 0 for the pool's usual time
 * @param fetchFrom the target whose kept prompt parts are to be fetched first, null where there is none
 */
@SuppressWarnings("ArrayRecordComponent") // calls are never compared, and the body is not copied on its way
public record TargetCall(
        TargetKind kind,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean streaming,
        long deadlineNs,
        long silenceMs,
        @Nullable TargetSettings fetchFrom) {
    private static final long NS_PER_MS = 1_000_000;

    public static TargetCall of(
            TargetKind kind, String method, String path, Map<String, String> headers, byte[] body, boolean streaming) {
        return new TargetCall(kind, method, path, headers, body, streaming, 0, 0, null);
    }

    /** The same call, bounded in time. */
    public TargetCall withTimeouts(long callDeadlineNs, long targetSilenceMs) {
        return new TargetCall(kind, method, path, headers, body, streaming, callDeadlineNs, targetSilenceMs, fetchFrom);
    }

    /** The same call with one header more, or with another value of it. */
    public TargetCall withHeader(String name, String value) {
        Map<String, String> changed = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        changed.putAll(headers);
        changed.put(name, value);
        return new TargetCall(kind, method, path, changed, body, streaming, deadlineNs, silenceMs, fetchFrom);
    }

    /** The same call, for a target that fetches what another one keeps of its prompt. */
    public TargetCall fetchingFrom(@Nullable TargetSettings source) {
        return new TargetCall(kind, method, path, headers, body, streaming, deadlineNs, silenceMs, source);
    }

    /** Whether the caller's time is over. */
    public boolean isExpired(long nowNs) {
        return deadlineNs != 0 && nowNs - deadlineNs >= 0;
    }

    /** What is left of the caller's time, at least 1 ms; 0 where it did not say. */
    public long remainingMs(long nowNs) {
        return deadlineNs == 0 ? 0 : Math.max(1, (deadlineNs - nowNs) / NS_PER_MS);
    }
}
