package org.marjoramswitch.daemon.target;

import org.marjoramswitch.kernel.settings.TargetSettings;

/** Host and port on which a target listens. */
record TargetAddress(String host, int port) {
    static TargetAddress of(TargetSettings target) {
        return new TargetAddress(target.host(), target.port());
    }

    @Override
    public String toString() {
        String literal = host.indexOf(':') >= 0 ? "[" + host + "]" : host;
        return literal + ":" + port;
    }
}
