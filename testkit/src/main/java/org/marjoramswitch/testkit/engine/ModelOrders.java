package org.marjoramswitch.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Models and role that orders have assigned to the engine. An order describes a desired state and is therefore
 * idempotent: {@code {"fence":7,"kind":"load","model":"m","version":"v","adapter":"a"}}, kinds {@code load},
 * {@code unload} and {@code role} (with {@code "role"}).
 */
final class ModelOrders {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final boolean checksFencing;
    private final boolean servesAny;
    private final long loadMs;
    private final List<String> initialModels;
    private final TreeMap<LoadedKey, Long> readyAtMs = new TreeMap<>();
    private final List<Applied> applied = new ArrayList<>();
    private long highestFence;
    private String role = "both";

    ModelOrders(EngineOptions options) {
        this.checksFencing = options.checksFencing;
        this.servesAny = options.models.isEmpty();
        this.loadMs = options.loadMs;
        this.initialModels = options.models;
        restart();
    }

    /** Returns false if the order was rejected because of its fencing number. */
    synchronized boolean apply(JsonNode order, long nowMs) {
        long fence = order.path("fence").asLong();
        if (checksFencing && fence < highestFence) {
            return false;
        }
        highestFence = Math.max(highestFence, fence);
        String kind = order.path("kind").asText();
        applied.add(new Applied(fence, kind, order.path("model").asText()));
        LoadedKey key = LoadedKey.of(order);
        switch (kind) {
            case "load" -> readyAtMs.putIfAbsent(key, nowMs + loadMs);
            case "unload" -> readyAtMs.remove(key);
            default -> role = order.path("role").asText(role);
        }
        return true;
    }

    synchronized boolean serves(String model, long nowMs) {
        return servesAny
                || readyAtMs.entrySet().stream()
                        .anyMatch(entry -> entry.getKey().model.equals(model) && entry.getValue() <= nowMs);
    }

    /** Returns the loaded models, the role and the highest fencing number. */
    synchronized ObjectNode toJson(long nowMs) {
        ObjectNode json = JSON.createObjectNode().put("fence", highestFence).put("role", role);
        ArrayNode loaded = json.putArray("loaded");
        readyAtMs.forEach((key, readyMs) -> loaded.addObject()
                .put("model", key.model)
                .put("version", key.version)
                .put("adapter", key.adapter)
                .put("state", readyMs <= nowMs ? "ready" : "loading"));
        return json;
    }

    /** Returns all applied orders in sequence. */
    synchronized List<Applied> applied() {
        return List.copyOf(applied);
    }

    /** Resets all state except the record of applied orders, as a restart of the process does. */
    synchronized void restart() {
        highestFence = 0;
        role = "both";
        readyAtMs.clear();
        initialModels.forEach(model -> readyAtMs.put(new LoadedKey(model, "", ""), 0L));
    }

    record Applied(long fence, String kind, String model) {}

    private record LoadedKey(String model, String version, String adapter) implements Comparable<LoadedKey> {
        static LoadedKey of(JsonNode order) {
            return new LoadedKey(
                    order.path("model").asText(),
                    order.path("version").asText(),
                    order.path("adapter").asText());
        }

        @Override
        public int compareTo(LoadedKey other) {
            return toString().compareTo(other.toString());
        }
    }
}
