package org.marjoramswitch.kernel.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.ColdStartLimits;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.PoolSettings;
import org.marjoramswitch.kernel.settings.TargetKind;
import org.marjoramswitch.kernel.settings.TargetSettings;

/**
 * Converts a team's documents into typed records.
 *
 * <p>The documents conform to the schema of some acceptor, which during a rolling upgrade may be newer than this
 * instance's schema. So nothing is rejected here: unknown members are ignored, absent members take their defaults, and
 * a pool of an unknown kind or a target whose address has an unknown format is omitted.
 */
final class TeamReader {
    /** Weight of a customer if neither the customer nor its team's defaults specify one. */
    static final double DEFAULT_WEIGHT = 1;

    /** Queue limit of a customer if neither the customer nor its team's defaults specify one. */
    static final int DEFAULT_MAX_QUEUED = 200;

    private static final Pattern ADDRESS = Pattern.compile("\\[?([^\\]]+)]?:(\\d{1,5})");

    private final String team;
    private final List<CustomerSettings> customers = new ArrayList<>();
    private final List<PoolSettings> pools = new ArrayList<>();
    private final List<TargetSettings> targets = new ArrayList<>();
    private final List<Definition> definitions = new ArrayList<>();
    private final Map<TargetSettings, Definition> definitionByTarget = new HashMap<>();
    private double defaultWeight = DEFAULT_WEIGHT;
    private int defaultMaxQueued = DEFAULT_MAX_QUEUED;

    private TeamReader(String team) {
        this.team = team;
    }

    static TeamSettings read(String team, SortedMap<String, JsonNode> documents) {
        TeamReader reader = new TeamReader(team);
        documents.forEach(reader::readDefaults);
        documents.forEach(reader::readDefinitions);
        return new TeamSettings(
                team,
                List.copyOf(reader.customers),
                List.copyOf(reader.pools),
                List.copyOf(reader.targets),
                List.copyOf(reader.definitions),
                Map.copyOf(reader.definitionByTarget));
    }

    private void readDefaults(String document, JsonNode root) {
        JsonNode defaults = root.path("defaults");
        if (defaults.isMissingNode()) {
            return;
        }
        define(Definition.Kind.TEAM_DEFAULTS, team, document, "/defaults");
        defaultWeight = defaults.path("weight").asDouble(defaultWeight);
        defaultMaxQueued = defaults.path("maxQueued").asInt(defaultMaxQueued);
    }

    private void readDefinitions(String document, JsonNode root) {
        root.path("customers").properties().forEach(member -> readCustomer(document, member));
        root.path("pools").properties().forEach(member -> readPool(document, member));
        root.path("targets").properties().forEach(member -> readTarget(document, member));
    }

    private void readCustomer(String document, Map.Entry<String, JsonNode> member) {
        String pointer = pointer("customers", member);
        define(Definition.Kind.CUSTOMER, member.getKey(), document, pointer);
        JsonNode node = member.getValue();
        Set<String> hashes = new TreeSet<>();
        for (JsonNode hash : node.path("apiKeysSha256")) {
            define(Definition.Kind.API_KEY, hash.asText(), document, pointer + "/apiKeysSha256/" + hashes.size());
            hashes.add(hash.asText());
        }
        customers.add(new CustomerSettings(
                CustomerId.of(member.getKey()),
                team,
                node.path("weight").asDouble(defaultWeight),
                Set.copyOf(hashes),
                node.path("maxQueued").asInt(defaultMaxQueued)));
    }

    private void readPool(String document, Map.Entry<String, JsonNode> member) {
        define(Definition.Kind.POOL, member.getKey(), document, pointer("pools", member));
        JsonNode node = member.getValue();
        TargetKind kind = kind(node.path("kind").asText());
        if (kind == null) {
            return;
        }
        PoolId id = PoolId.of(member.getKey());
        PoolSettings defaults =
                kind == TargetKind.MODEL_ENGINE ? PoolSettings.modelEngines(id) : PoolSettings.plainServices(id);
        pools.add(new PoolSettings(
                id,
                kind,
                node.path("cellTargets").asInt(defaults.cellTargets()),
                node.path("promptTokenCost").asDouble(defaults.promptTokenCost()),
                node.path("outputTokenCost").asDouble(defaults.outputTokenCost()),
                node.path("initialEstimateTokens").asLong(defaults.initialEstimateTokens()),
                node.path("repeatableByDefault").asBoolean(defaults.repeatableByDefault()),
                node.path("waitTimeoutMs").asLong(defaults.waitTimeoutMs()),
                node.path("progressTimeoutMs").asLong(defaults.progressTimeoutMs()),
                node.path("retryShare").asDouble(defaults.retryShare()),
                ColdStartLimits.NONE));
    }

    private void readTarget(String document, Map.Entry<String, JsonNode> member) {
        Definition definition = define(Definition.Kind.TARGET, member.getKey(), document, pointer("targets", member));
        JsonNode node = member.getValue();
        Matcher address = ADDRESS.matcher(node.path("address").asText());
        if (!address.matches()) {
            return;
        }
        TargetSettings target = new TargetSettings(
                TargetId.of(member.getKey()),
                PoolId.of(node.path("pool").asText()),
                address.group(1),
                Integer.parseInt(address.group(2)),
                DataCentreId.of(node.path("dataCentre").asText()),
                node.path("slots").asInt(),
                node.path("checksFencing").asBoolean(false));
        targets.add(target);
        definitionByTarget.put(target, definition);
    }

    private Definition define(Definition.Kind kind, String name, String document, String pointer) {
        Definition definition = new Definition(new Definition.Name(kind, name), team, document, pointer);
        definitions.add(definition);
        return definition;
    }

    private static String pointer(String parent, Map.Entry<String, JsonNode> member) {
        return "/" + parent + "/" + DocumentParser.escape(member.getKey());
    }

    private static @Nullable TargetKind kind(String name) {
        for (TargetKind kind : TargetKind.values()) {
            if (kind.settingsName().equals(name)) {
                return kind;
            }
        }
        return null;
    }
}
