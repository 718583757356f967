package org.marjoramswitch.daemon.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramswitch.daemon.platform.FleetList.ListedCrash;
import org.marjoramswitch.daemon.platform.FleetList.ListedInstance;
import org.marjoramswitch.daemon.platform.KeyValueStore.Entry;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.wire.WireNames;

/**
 * Parses the list's entries: {@code list/instances/<id>} holds {@code callers}, {@code peers}, {@code dataCentre},
 * {@code state} and, optionally, {@code incarnation}, {@code list/targets/<id>} holds {@code state}; a state is
 * {@code live} or {@code leaving}. {@code list/crashes/<digest>} holds {@code ends}, each with {@code target} and {@code atMs}.
 *
 * <p>A malformed entry is ignored: the previous state of that instance or target remains in use, so that a typing error
 * neither removes an instance from the fleet nor makes a draining target live again.
 */
final class FleetListParser {
    static final String PREFIX = FleetList.PREFIX;
    private static final String INSTANCES = PREFIX + "instances/";
    private static final String TARGETS = PREFIX + "targets/";
    private static final String LIVE = "live";
    private static final String LEAVING = "leaving";
    private static final int HEX = 16;
    private static final int MAX_PORT = 65_535;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final FleetList previous;
    private final Map<InstanceId, ListedInstance> instances = new HashMap<>();
    private final Set<TargetId> leavingTargets = new HashSet<>();
    private final Set<ListedCrash> crashes = new HashSet<>();
    private final List<Entry> malformed = new ArrayList<>();

    private FleetListParser(FleetList previous) {
        this.previous = previous;
    }

    /** The parsed list and the entries that could not be parsed. */
    record ParseResult(FleetList list, List<Entry> malformed) {}

    static ParseResult parse(Collection<Entry> entries, FleetList previous) {
        FleetListParser parser = new FleetListParser(previous);
        entries.forEach(parser::add);
        return new ParseResult(
                FleetList.of(parser.instances, parser.leavingTargets, parser.crashes), List.copyOf(parser.malformed));
    }

    private void add(Entry entry) {
        if (entry.key().startsWith(INSTANCES)) {
            addInstance(InstanceId.of(entry.key().substring(INSTANCES.length())), entry);
        } else if (entry.key().startsWith(TARGETS)) {
            addTarget(TargetId.of(entry.key().substring(TARGETS.length())), entry);
        } else if (entry.key().startsWith(FleetList.CRASHES_PREFIX)) {
            addCrashes(entry.key().substring(FleetList.CRASHES_PREFIX.length()), entry);
        } else {
            malformed.add(entry);
        }
    }

    private void addInstance(InstanceId id, Entry entry) {
        Optional<ListedInstance> parsed = WireNames.isValid(id.name()) ? instance(body(entry)) : Optional.empty();
        if (parsed.isPresent()) {
            instances.put(id, parsed.get());
            return;
        }
        malformed.add(entry);
        ListedInstance unchanged = previous.instances().get(id);
        if (unchanged != null) {
            instances.put(id, unchanged);
        }
    }

    private void addTarget(TargetId id, Entry entry) {
        Optional<Boolean> leaving = WireNames.isValid(id.name()) ? leaving(body(entry)) : Optional.empty();
        if (leaving.isEmpty()) {
            malformed.add(entry);
        }
        if (leaving.orElse(previous.leavingTargets().contains(id))) {
            leavingTargets.add(id);
        }
    }

    private void addCrashes(String digest, Entry entry) {
        try {
            long parsed = Long.parseUnsignedLong(digest, HEX);
            for (JsonNode end : body(entry).path("ends")) {
                String target = end.path("target").asText("");
                long atMs = end.path("atMs").asLong(0);
                if (target.isEmpty() || !WireNames.isValid(target) || atMs <= 0) {
                    malformed.add(entry);
                    return;
                }
                crashes.add(new ListedCrash(parsed, TargetId.of(target), atMs));
            }
        } catch (NumberFormatException e) {
            malformed.add(entry);
        }
    }

    private static JsonNode body(Entry entry) {
        try {
            return JSON.readTree(entry.value());
        } catch (JsonProcessingException e) {
            return JSON.missingNode();
        }
    }

    private static Optional<ListedInstance> instance(JsonNode body) {
        Optional<HostPort> callers = address(body.path("callers"));
        Optional<HostPort> peers = address(body.path("peers"));
        Optional<Boolean> leaving = leaving(body);
        String dataCentre = body.path("dataCentre").asText("");
        if (callers.isEmpty()
                || peers.isEmpty()
                || leaving.isEmpty()
                || dataCentre.isEmpty()
                || !WireNames.isValid(dataCentre)) {
            return Optional.empty();
        }
        long incarnation = body.path("incarnation").asLong(0);
        return Optional.of(new ListedInstance(
                callers.get(), peers.get(), DataCentreId.of(dataCentre), leaving.get(), incarnation));
    }

    private static Optional<Boolean> leaving(JsonNode body) {
        return switch (body.path("state").asText("")) {
            case LIVE -> Optional.of(false);
            case LEAVING -> Optional.of(true);
            default -> Optional.empty();
        };
    }

    private static Optional<HostPort> address(JsonNode field) {
        try {
            HostPort address = HostPort.parse(field.asText(""));
            boolean valid = address.port() > 0 && address.port() <= MAX_PORT;
            return valid ? Optional.of(address) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
