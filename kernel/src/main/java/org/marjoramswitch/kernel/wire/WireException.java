package org.marjoramswitch.kernel.wire;

import java.io.IOException;

/** Carries a {@link WireFault} from the field readers to the public decoder, which returns it as a result. */
final class WireException extends IOException {
    private final WireFault fault;

    WireException(WireFault fault) {
        super(fault.name());
        this.fault = fault;
    }

    WireFault fault() {
        return fault;
    }
}
