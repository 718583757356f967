package org.marjoramswitch.tool;

/** Exit codes of the tool; scripts rely on the numbers, which must not change. */
public enum ExitCode {
    OK(0, "The command did what it was asked."),
    FAILED(1, "The command ran and its result is bad: a load that lost or doubled a request, a demo without answers."),
    USAGE(2, "The command line cannot be understood."),
    INVALID(3, "An input file or a settings document is not valid; each fault is printed."),
    CONFLICT(4, "Another operator's write came first; nothing was written."),
    UNAVAILABLE(5, "A service that the command needs did not answer; nothing was changed."),
    OUTCOME_UNKNOWN(6, "A write was sent and its outcome could not be read back; 'settings history' will show it."),
    INTERNAL(70, "An internal error.");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    public int code() {
        return code;
    }

    /** Returns the sentence that the help text prints for this code. */
    public String meaning() {
        return meaning;
    }
}
