package org.marjoramswitch.tool;

/** A command of the tool, instantiated by Airline with its options set. */
public interface ToolCommand {
    /** Executes the command. Expected faults are printed and returned as an exit code, not thrown. */
    ExitCode run(Console console) throws InterruptedException;
}
