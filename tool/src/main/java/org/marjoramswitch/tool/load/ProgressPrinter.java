package org.marjoramswitch.tool.load;

import java.io.PrintStream;

/** Prints a progress line about once a second. */
public final class ProgressPrinter extends BaseLoadListener {
    private final PrintStream out;

    public ProgressPrinter(PrintStream out) {
        this.out = out;
    }

    @Override
    public void onProgress(long elapsedMs, long requests, long ended, long outstanding) {
        out.println("event=load_progress elapsed_ms=" + elapsedMs + " requests=" + requests + " ended=" + ended
                + " outstanding=" + outstanding);
    }
}
