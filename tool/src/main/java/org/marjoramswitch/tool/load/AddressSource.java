package org.marjoramswitch.tool.load;

import java.util.List;
import java.util.function.Consumer;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.tool.load.Scenario.CustomerLoad;

/** Looks up the instances that a customer's callers may connect to. */
@FunctionalInterface
public interface AddressSource {
    /** Passes exactly one response to {@code consumer}, on any thread; never blocks. */
    void fetch(CustomerLoad customer, Consumer<AddressResponse> consumer);

    /** Returns a source that always gives the same addresses, for a load sent directly to targets. */
    static AddressSource fixed(List<HostPort> addresses) {
        List<AddressResponse.Endpoint> endpoints = addresses.stream()
                .map(address -> new AddressResponse.Endpoint(address, ""))
                .toList();
        AddressResponse response = AddressResponse.of(endpoints, Long.MAX_VALUE / 2_000_000);
        return (customer, consumer) -> consumer.accept(response);
    }
}
