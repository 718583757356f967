package org.marjoramswitch.daemon.platform;

import org.jspecify.annotations.Nullable;

/** Result of a call to the platform's key-value store. */
public sealed interface KeyValueResult<T extends @Nullable Object> {

    /** This result; a rejection with the given status is replaced by an {@link Answered} with the given value. */
    default KeyValueResult<T> replaceRejection(int status, T value) {
        boolean matches = this instanceof Rejected<T> rejected && rejected.status() == status;
        return matches ? new Answered<>(value, 0) : this;
    }

    /** The store responded successfully. */
    record Answered<T extends @Nullable Object>(T value, long revision) implements KeyValueResult<T> {}

    /** The call certainly had no effect: nothing was sent, or the budget was spent. */
    record NotSent<T extends @Nullable Object>(String reason) implements KeyValueResult<T> {}

    /** No response was received: a write may have taken effect or may do so later. */
    record OutcomeUnknown<T extends @Nullable Object>(String reason) implements KeyValueResult<T> {}

    /** The store rejected the call. */
    record Rejected<T extends @Nullable Object>(int status, String reason) implements KeyValueResult<T> {}
}
