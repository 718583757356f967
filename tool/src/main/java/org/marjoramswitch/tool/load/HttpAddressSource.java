package org.marjoramswitch.tool.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.tool.http.CallerClient;
import org.marjoramswitch.tool.http.HttpCall;
import org.marjoramswitch.tool.http.HttpResponse;
import org.marjoramswitch.tool.load.Scenario.CustomerLoad;

/** Requests addresses with {@code GET /v1/address} from the fleet's instances, round-robin. */
public final class HttpAddressSource implements AddressSource {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long REQUEST_TIMEOUT_MS = 2_000;

    private final CallerClient client;
    private final List<HostPort> instances;
    private final AtomicInteger nextInstance = new AtomicInteger();

    private HttpAddressSource(CallerClient client, List<HostPort> instances) {
        this.client = client;
        this.instances = instances;
    }

    public static HttpAddressSource of(CallerClient client, List<HostPort> instances) {
        return new HttpAddressSource(client, List.copyOf(instances));
    }

    @Override
    public void fetch(CustomerLoad customer, Consumer<AddressResponse> consumer) {
        HostPort instance = instances.get(Math.floorMod(nextInstance.getAndIncrement(), instances.size()));
        HttpCall call = HttpCall.get("/v1/address", Map.of("Authorization", "Bearer " + customer.apiKey()));
        var unused = client.execute(instance, call, REQUEST_TIMEOUT_MS)
                .thenAccept(response -> consumer.accept(read(response)));
    }

    private static AddressResponse read(HttpResponse response) {
        if (!response.isOk()) {
            return AddressResponse.NONE;
        }
        try {
            JsonNode body = JSON.readTree(response.body());
            List<AddressResponse.Endpoint> endpoints = new ArrayList<>();
            body.path("instances")
                    .forEach(instance -> endpoints.add(new AddressResponse.Endpoint(
                            HostPort.parse(instance.path("address").asText()),
                            instance.path("requestKeyPrefix").asText())));
            return AddressResponse.of(endpoints, body.path("keepMs").asLong());
        } catch (JsonProcessingException | IllegalArgumentException malformed) {
            return AddressResponse.NONE;
        }
    }
}
