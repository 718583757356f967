package org.marjoramswitch.tool.settings;

import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.platform.KeyValueResult;

/** Describes why a call to the key-value store failed. */
final class FailureReasons {
    private FailureReasons() {}

    /** Returns the reason; empty if the call succeeded. */
    static <T extends @Nullable Object> String of(KeyValueResult<T> result) {
        if (result instanceof KeyValueResult.NotSent<T> notSent) {
            return notSent.reason();
        }
        if (result instanceof KeyValueResult.OutcomeUnknown<T> unknown) {
            return unknown.reason();
        }
        if (result instanceof KeyValueResult.Rejected<T> rejected) {
            return rejected.status() + " " + rejected.reason();
        }
        return "";
    }
}
