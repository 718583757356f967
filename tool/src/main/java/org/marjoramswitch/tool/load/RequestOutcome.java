package org.marjoramswitch.tool.load;

/** Final outcome of a request after all its attempts. */
public enum RequestOutcome {
    ANSWERED,
    REFUSED_NOT_RUN,
    UNKNOWN,
    BROKEN,
    LOST;

    /** @param mayHaveRun whether any attempt may have been executed, according to the fleet's responses */
    static RequestOutcome of(AttemptVerdict last, boolean mayHaveRun) {
        return switch (last) {
            case ANSWERED -> ANSWERED;
            case NOT_RUN -> mayHaveRun ? UNKNOWN : REFUSED_NOT_RUN;
            case UNKNOWN -> UNKNOWN;
            case BROKEN, MARKED -> BROKEN;
            case SILENT, TRUNCATED, CROSSED -> LOST;
        };
    }
}
