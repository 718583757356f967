package org.marjoramswitch.tool.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.marjoramswitch.daemon.platform.KeyValueStore;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.configuration.AcceptedTree;
import org.marjoramswitch.kernel.configuration.SettingsKeys;
import org.marjoramswitch.kernel.settings.FleetSettings;
import org.marjoramswitch.tool.http.CallerClient;
import org.marjoramswitch.tool.http.HttpCall;
import org.marjoramswitch.tool.http.HttpReply;
import org.marjoramswitch.tool.settings.SettingsView;
import org.marjoramswitch.tool.settings.SettingsView.UnavailableException;

/** Reads the platform's list and asks each listed instance about itself. */
public final class FleetReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String INSTANCES = "list/instances/";
    private static final String TARGETS = "list/targets/";
    private static final long ASK_TIMEOUT_MS = 2_000;
    /** One command asks a few hundred instances once. */
    private static final int IO_THREADS = 1;

    private final SettingsView view;
    private final CallerClient client;

    private FleetReader(SettingsView view, CallerClient client) {
        this.view = view;
        this.client = client;
    }

    public static FleetReader of(SettingsView view, CallerClient client) {
        return new FleetReader(view, client);
    }

    /** What a command wants to know of the fleet. */
    @FunctionalInterface
    public interface Question<T> {
        T ask(SettingsView view, FleetReader reader) throws UnavailableException;
    }

    /** Answers a question over connections of its own, which are closed afterwards. */
    public static <T> T ask(KeyValueStore store, Question<T> question) throws UnavailableException {
        try (CallerClient client = CallerClient.start(IO_THREADS)) {
            SettingsView view = SettingsView.of(store);
            return question.ask(view, of(view, client));
        } catch (IOException noThreads) {
            throw new UncheckedIOException(noThreads);
        }
    }

    /** The listed instances by name; all are asked at the same time. */
    public List<InstanceStatus> instances() throws UnavailableException {
        List<CompletableFuture<InstanceStatus>> asked = view.values(INSTANCES).entrySet().stream()
                .map(listed -> ask(listed.getKey().substring(INSTANCES.length()), parse(listed.getValue())))
                .toList();
        return asked.stream().map(CompletableFuture::join).toList();
    }

    /** The accepted settings; {@link FleetSettings#NONE} before the first acceptance. */
    public FleetSettings settings() throws UnavailableException {
        return AcceptedTree.fromStore(view.values(SettingsKeys.ACCEPTED)).settings();
    }

    /** The platform's state of each target that it lists. */
    public Map<String, String> targetStates() throws UnavailableException {
        Map<String, String> states = new TreeMap<>();
        view.values(TARGETS)
                .forEach((key, value) -> states.put(
                        key.substring(TARGETS.length()),
                        parse(value).path("state").asText()));
        return states;
    }

    private CompletableFuture<InstanceStatus> ask(String instance, JsonNode listed) {
        String address = listed.path("callers").asText();
        HostPort callers;
        try {
            callers = HostPort.parse(address);
        } catch (IllegalArgumentException malformed) {
            return CompletableFuture.completedFuture(status(instance, listed, false, parse(""), parse("")));
        }
        CompletableFuture<HttpReply> ready =
                client.ask(callers, HttpCall.get("/health/ready", Map.of()), ASK_TIMEOUT_MS);
        CompletableFuture<HttpReply> metrics =
                client.ask(callers, HttpCall.get("/metrics?format=json", Map.of()), ASK_TIMEOUT_MS);
        return ready.thenCombine(
                metrics,
                (health, values) ->
                        status(instance, listed, health.status() > 0, parse(health.body()), parse(values.body())));
    }

    private static InstanceStatus status(
            String instance, JsonNode listed, boolean reachable, JsonNode health, JsonNode metrics) {
        return new InstanceStatus(
                instance,
                listed.path("dataCentre").asText(),
                listed.path("callers").asText(),
                listed.path("state").asText(),
                reachable,
                health.path("ready").asBoolean(),
                health.path("reason").asText(),
                metrics.path("configuration.generation").asLong(),
                metrics.path("caller.open_requests").asLong(),
                metrics.path("process.processor_millicores").asInt());
    }

    private static JsonNode parse(String json) {
        try {
            return JSON.readTree(json);
        } catch (JsonProcessingException malformed) {
            return JsonNodeFactory.instance.objectNode();
        }
    }
}
