package org.marjoramswitch.tool.command;

import org.marjoramswitch.tool.fleet.InstanceStatus;

/** Formats an instance's status as a line of key=value pairs. */
final class InstanceLines {
    private InstanceLines() {}

    static String line(InstanceStatus instance) {
        String reason = instance.reason().isEmpty() ? "" : " reason=\"" + instance.reason() + "\"";
        return "instance=" + instance.instance() + " data_centre=" + instance.dataCentre() + " callers="
                + instance.callers() + " listed=" + instance.listed() + " reachable=" + instance.reachable()
                + " ready=" + instance.ready() + " generation=" + instance.generation() + " open_requests="
                + instance.openRequests() + reason;
    }
}
