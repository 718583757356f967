package org.marjoramswitch.kernel.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramswitch.kernel.KernelOptions;
import org.marjoramswitch.kernel.event.Event;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.DataCentreId;
import org.marjoramswitch.kernel.model.InstanceId;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.settings.CustomerSettings;
import org.marjoramswitch.kernel.settings.FleetSettings;

class EventJsonTest {
    @Test
    void everyEventRoundTrips() throws Exception {
        List<Event> events = new ArrayList<>();
        for (Class<?> type : Event.class.getPermittedSubclasses()) {
            events.add((Event) sample(type));
        }
        for (Class<?> type : PeerMessage.class.getPermittedSubclasses()) {
            events.add(new Event.PeerReceived(InstanceId.of("entry-2"), 7, (PeerMessage) sample(type)));
        }
        for (Event event : events) {
            RecordedEvent recorded = new RecordedEvent(42, event);
            assertEquals(recorded, EventJson.readEvent(EventJson.write(recorded)));
        }
    }

    @Test
    void apiKeyHashesAreOmitted() throws Exception {
        CustomerId id = CustomerId.of("quai-nord");
        CustomerSettings customer = new CustomerSettings(id, "piers", 2, Set.of("c0ffee"), 5);
        Event event = new Event.SettingsAccepted(FleetSettings.of(3, Map.of(id, customer), Map.of(), Map.of()));
        String line = EventJson.write(new RecordedEvent(1, event));
        assertFalse(line.contains("c0ffee"), line);
        Event.SettingsAccepted read =
                (Event.SettingsAccepted) EventJson.readEvent(line).event();
        assertEquals(2, read.settings().customers().get(id).weight());
    }

    @Test
    void headerRoundTripsAndAnotherFormatIsRejected() throws Exception {
        Member self = Member.of(InstanceId.of("entry-1"), 9, DataCentreId.of("leith-a"), false);
        RecordingHeader header = RecordingHeader.of(self, KernelOptions.defaults());
        assertEquals(header, EventJson.readHeader(EventJson.write(header)));
        String other = EventJson.write(new RecordingHeader(99, self, KernelOptions.defaults()));
        assertThrows(IOException.class, () -> EventJson.readHeader(other));
    }

    /** Creates a sample value of any type that a recorded event contains. */
    private static Object sample(Type type) throws ReflectiveOperationException {
        if (type instanceof ParameterizedType generic) {
            return sampleCollection(generic);
        }
        Class<?> raw = (Class<?>) type;
        if (raw.isEnum()) {
            return raw.getEnumConstants()[0];
        }
        if (raw.isRecord()) {
            return sampleRecord(raw);
        }
        if (raw.isSealed()) {
            return sample(raw.getPermittedSubclasses()[0]);
        }
        return samplePrimitive(raw);
    }

    private static Object sampleCollection(ParameterizedType type) throws ReflectiveOperationException {
        Object first = sample(type.getActualTypeArguments()[0]);
        if (type.getRawType() == Map.class) {
            return Map.of(first, sample(type.getActualTypeArguments()[1]));
        }
        return type.getRawType() == Set.class ? Set.of(first) : List.of(first);
    }

    private static Object sampleRecord(Class<?> type) throws ReflectiveOperationException {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            boolean keys = components[i].getName().equals("apiKeysSha256");
            values[i] = keys ? Set.of() : sample(components[i].getGenericType());
        }
        Constructor<?> constructor = type.getDeclaredConstructor(types);
        return constructor.newInstance(values);
    }

    private static Object samplePrimitive(Class<?> type) {
        return switch (type.getSimpleName()) {
            case "long", "Long" -> 1L << 40;
            case "int", "Integer" -> 3;
            case "double" -> 0.1;
            case "boolean" -> true;
            case "String" -> "a \"text\"/1";
            default -> throw new IllegalArgumentException("no sample for " + type);
        };
    }
}
