package org.marjoramswitch.daemon;

/** Exit statuses of the daemon process. */
public enum ExitCode {
    /** A graceful shutdown that let every request finish. */
    OK(0),
    /** The command line is invalid. */
    USAGE(2),
    /** The settings file cannot be read or is invalid. */
    SETTINGS_INVALID(3),
    /** One of the instance's addresses cannot be bound. */
    ADDRESS_UNAVAILABLE(4),
    /** An internal error. */
    INTERNAL(5),
    /** A graceful shutdown ended by a second signal or by its deadline, with requests still open. */
    CUT_SHORT(6);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    /** The exit status of the process. */
    public int status() {
        return status;
    }
}
