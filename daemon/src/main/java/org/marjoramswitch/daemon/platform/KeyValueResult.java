package org.marjoramswitch.daemon.platform;

import org.jspecify.annotations.Nullable;

/** How a call to the platform's service ended. */
public sealed interface KeyValueResult<T extends @Nullable Object> {

    /** This result, or the value as an answer where the service tells with a rejection of this status what it means. */
    default KeyValueResult<T> replaceRejection(int status, T value) {
        boolean meant = this instanceof Rejected<T> rejected && rejected.status() == status;
        return meant ? new Answered<>(value, 0) : this;
    }

    /** The service answered. */
    record Answered<T extends @Nullable Object>(T value, long revision) implements KeyValueResult<T> {}

    /** The call certainly took no effect: nothing was sent, or the budget was spent. */
    record NotSent<T extends @Nullable Object>(String reason) implements KeyValueResult<T> {}

    /** No answer came: a write may have taken effect, now or later. */
    record OutcomeUnknown<T extends @Nullable Object>(String reason) implements KeyValueResult<T> {}

    /** The service answered that it will not do this. */
    record Rejected<T extends @Nullable Object>(int status, String reason) implements KeyValueResult<T> {}
}
