package org.marjoramswitch.kernel.admission;

/** The decision about a request. */
public sealed interface AdmissionResult {
    /** The request is admitted. */
    record Admitted() implements AdmissionResult {}

    /** The request is rejected as not run; its caller should retry after this delay. */
    record Rejected(long retryAfterMs) implements AdmissionResult {}
}
