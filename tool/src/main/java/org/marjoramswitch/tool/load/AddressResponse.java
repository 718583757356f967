package org.marjoramswitch.tool.load;

import java.util.List;
import org.marjoramswitch.daemon.settings.HostPort;

/**
 * Response to an address request: the instances that a caller may connect to.
 *
 * @param endpoints in the order in which to try them; empty if the address request failed
 * @param keepMs how long the response may be cached
 */
public record AddressResponse(List<Endpoint> endpoints, long keepMs) {
    public static final AddressResponse NONE = new AddressResponse(List.of(), 0);

    public static AddressResponse of(List<Endpoint> endpoints, long keepMs) {
        return new AddressResponse(List.copyOf(endpoints), keepMs);
    }

    /**
     * Address of one instance.
     *
     * @param requestKeyPrefix prefix of the keys of requests whose home is this instance; empty if it accepts no keys
     */
    public record Endpoint(HostPort address, String requestKeyPrefix) {}
}
