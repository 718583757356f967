package org.marjoramswitch.tool.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.tool.load.AddressResponse.Endpoint;

/** One of a customer's callers: its cached address response and the requests that wait for a new one. */
final class Caller {
    private final List<LoadRun.WaitingForAddress> waiting = new ArrayList<>();
    private AddressResponse addresses = AddressResponse.NONE;
    private long addressesExpireNs;
    private int failedEndpoints;

    /**
     * Returns the endpoint to send a request to: the first of the cached response, in the fleet's order of preference,
     * that has not failed. Null if the response has expired or all its endpoints have failed.
     */
    @Nullable
    Endpoint endpoint(long nowNs) {
        List<Endpoint> endpoints = addresses.endpoints();
        if (nowNs - addressesExpireNs > 0 || failedEndpoints >= endpoints.size()) {
            return null;
        }
        return endpoints.get(failedEndpoints);
    }

    /** Moves on from a failed endpoint to the next one, unless another request already did. */
    void endpointFailed(Endpoint failed) {
        List<Endpoint> endpoints = addresses.endpoints();
        if (failedEndpoints < endpoints.size() && endpoints.get(failedEndpoints).equals(failed)) {
            failedEndpoints++;
        }
    }

    void cacheAddresses(AddressResponse newAddresses, long nowNs) {
        addresses = newAddresses;
        failedEndpoints = 0;
        addressesExpireNs = nowNs + TimeUnit.MILLISECONDS.toNanos(newAddresses.keepMs());
    }

    /** Queues the request until an address response arrives; returns true if the caller has yet to request one. */
    boolean waitForAddress(LoadRun.WaitingForAddress request) {
        waiting.add(request);
        return waiting.size() == 1;
    }

    List<LoadRun.WaitingForAddress> takeWaiting() {
        List<LoadRun.WaitingForAddress> taken = List.copyOf(waiting);
        waiting.clear();
        return taken;
    }
}
