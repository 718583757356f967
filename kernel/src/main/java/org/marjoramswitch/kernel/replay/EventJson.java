package org.marjoramswitch.kernel.replay;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;

/**
 * Writes and reads recordings with one JSON object per line: a {@link RecordingHeader}, then the {@link RecordedEvent}s
 * in the order in which the kernel applied them.
 *
 * <p>Collections keep the order in which they were written, so that a replay applies exactly what the kernel applied.
 * Hashes of API keys are omitted; no decision depends on them.
 */
public final class EventJson {
    private static final ObjectMapper MAPPER = mapper();

    private EventJson() {}

    /** Returns the header's line, without a line terminator. */
    public static String write(RecordingHeader header) {
        return toJson(header);
    }

    /** Returns the event's line, without a line terminator. */
    public static String write(RecordedEvent recorded) {
        return toJson(new RecordedEvent(recorded.atMs(), withoutKeys(recorded.event())));
    }

    /** @throws IOException if the line is not a header of this format */
    public static RecordingHeader readHeader(String line) throws IOException {
        RecordingHeader header = MAPPER.readValue(line, RecordingHeader.class);
        if (header.format() != RecordingHeader.FORMAT) {
            throw new IOException("unknown format of a recording: " + header.format());
        }
        return header;
    }

    /** @throws IOException if the line is not a recorded event */
    public static RecordedEvent readEvent(String line) throws IOException {
        return MAPPER.readValue(line, RecordedEvent.class);
    }

    private static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException fault) {
            throw new IllegalStateException("a kernel record cannot be serialized as JSON", fault);
        }
    }

    private static Event withoutKeys(Event event) {
        if (!(event instanceof Event.SettingsAccepted accepted)) {
            return event;
        }
        FleetSettings settings = accepted.settings();
        TreeMap<CustomerId, CustomerSettings> customers = new TreeMap<>();
        settings.customers().forEach((id, customer) -> customers.put(id, withoutKeys(customer)));
        return new Event.SettingsAccepted(
                FleetSettings.of(settings.generation(), customers, settings.pools(), settings.targets()));
    }

    private static CustomerSettings withoutKeys(CustomerSettings customer) {
        return new CustomerSettings(customer.id(), customer.team(), customer.weight(), Set.of(), customer.maxQueued());
    }

    private static ObjectMapper mapper() {
        SimpleModule module = new SimpleModule("marjoramswitch");
        addName(module, InstanceId.class, InstanceId::of);
        addName(module, CustomerId.class, CustomerId::of);
        addName(module, PoolId.class, PoolId::of);
        addName(module, TargetId.class, TargetId::of);
        addName(module, DataCentreId.class, DataCentreId::of);
        addName(module, CellId.class, EventJson::parseCell);
        module.addAbstractTypeMapping(Set.class, LinkedHashSet.class);
        JsonMapper mapper = JsonMapper.builder()
                .addModule(module)
                .addMixIn(Event.class, Typed.class)
                .addMixIn(PeerMessage.class, Typed.class)
                .build();
        registerNames(mapper, Event.class);
        registerNames(mapper, PeerMessage.class);
        return mapper;
    }

    private static void registerNames(ObjectMapper mapper, Class<?> sealedType) {
        for (Class<?> type : sealedType.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(type, type.getSimpleName()));
        }
    }

    private static <T> void addName(SimpleModule module, Class<T> type, Function<String, T> parse) {
        module.addSerializer(type, new NameSerializer<>());
        module.addKeySerializer(type, new NameKeySerializer<>());
        module.addDeserializer(type, new NameDeserializer<>(parse));
        module.addKeyDeserializer(type, new NameKeyDeserializer(parse));
    }

    private static CellId parseCell(String text) {
        int slash = text.lastIndexOf('/');
        return CellId.of(PoolId.of(text.substring(0, slash)), Integer.parseInt(text.substring(slash + 1)));
    }

    /** Mix-in that adds a member with the record's type name to the records of a sealed type. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface Typed {}

    private static final class NameSerializer<T> extends JsonSerializer<T> {
        @Override
        public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
            generator.writeString(value.toString());
        }
    }

    private static final class NameKeySerializer<T> extends JsonSerializer<T> {
        @Override
        public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
            generator.writeFieldName(value.toString());
        }
    }

    private static final class NameDeserializer<T> extends JsonDeserializer<T> {
        private final Function<String, T> parse;

        private NameDeserializer(Function<String, T> parse) {
            this.parse = parse;
        }

        @Override
        public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return parse.apply(parser.getValueAsString());
        }
    }

    private static final class NameKeyDeserializer extends KeyDeserializer {
        private final Function<String, ?> parse;

        private NameKeyDeserializer(Function<String, ?> parse) {
            this.parse = parse;
        }

        @Override
        public Object deserializeKey(String key, DeserializationContext context) {
            return parse.apply(key);
        }
    }
}
