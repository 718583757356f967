package org.marjoramswitch.tool.load;

/** Checks whether a response belongs to a request, to detect responses that were swapped between requests. */
@FunctionalInterface
public interface ResponseCheck {
    /** @param text the text that a model engine generated or a plain service's body, complete by its framing */
    Verdict check(RequestPlan plan, String text);

    /** Result of a check. */
    enum Verdict {
        MATCH,
        /** A proper prefix of the request's expected response. */
        PREFIX,
        MISMATCH
    }

    /** Returns a check that accepts every response, for targets whose responses are not predictable. */
    static ResponseCheck none() {
        return (plan, text) -> Verdict.MATCH;
    }
}
