package org.marjoramswitch.tool.command;

import org.marjoramswitch.kernel.configuration.SettingsFault;

/** Formats a settings fault as a line of key=value pairs, with the document and pointer of the fault. */
final class FaultLines {
    private FaultLines() {}

    static String line(String event, SettingsFault fault) {
        return "event=" + event + " error=" + fault.type().name() + " number="
                + fault.type().number() + " document=" + fault.team() + "/" + fault.document() + " pointer="
                + fault.pointer() + " detail=\""
                + fault.type().message(fault.detail()).replace('"', '\'') + "\"";
    }
}
