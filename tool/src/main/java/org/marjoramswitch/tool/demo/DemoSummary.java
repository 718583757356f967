package org.marjoramswitch.tool.demo;

import java.util.Locale;

/**
 * Results of a demo, as counted by its callers and targets.
 *
 * @param unknown requests with an outcome unknown to the caller, from the response or a broken connection
 * @param lost requests that timed out, or whose response was truncated or another request's but looked valid
 * @param doubled non-repeatable requests that were executed more than once
 * @param falselyNotRun calls that were reported to their callers as not run although they were executed
 * @param controlBytes bytes that the instances sent to each other
 */
public record DemoSummary(
        long requests,
        long answered,
        long refusedNotRun,
        long unknown,
        long lost,
        long doubled,
        long falselyNotRun,
        double utilisation,
        long fairnessGapTokens,
        long controlBytes) {
    public boolean isGood() {
        return lost == 0 && doubled == 0 && falselyNotRun == 0 && answered > 0;
    }

    /** Returns the summary line that the demo prints last. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "event=demo_summary requests=%d answered=%d refused_not_run=%d unknown=%d lost=%d doubled=%d"
                        + " utilisation=%.4f fairness_gap_tokens=%d control_bytes_per_request=%.1f",
                requests,
                answered,
                refusedNotRun,
                unknown,
                lost,
                doubled,
                utilisation,
                fairnessGapTokens,
                requests == 0 ? 0.0 : (double) controlBytes / requests);
    }
}
