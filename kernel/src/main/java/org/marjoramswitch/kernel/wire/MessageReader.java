package org.marjoramswitch.kernel.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;

/** The receiving side's state of a link and the fields of the message being read; mirrors {@link MessageWriter}. */
final class MessageReader {
    private final ReceivedNames<CustomerId> customers = new ReceivedNames<>(NameKind.CUSTOMER);
    private final ReceivedNames<TargetId> targets = new ReceivedNames<>(NameKind.TARGET);
    private final ReceivedNames<PoolId> pools = new ReceivedNames<>(NameKind.POOL);
    private final ReceivedNames<CellId> cells = new ReceivedNames<>(NameKind.CELL);
    private final List<DeltaBases> basesByCell = new ArrayList<>();
    private DeltaBases bases = new DeltaBases();
    private FieldReader fields = FieldReader.of(new byte[0], 0, 0);

    void begin(FieldReader fields) {
        this.fields = fields;
    }

    /** Reads a name definition; a kind of name that this version does not know is ignored. */
    void define() throws IOException {
        long kind = fields.field();
        int id = fields.intField();
        if (kind == NameKind.CUSTOMER.number()) {
            customers.put(id, CustomerId.of(fields.text()));
        } else if (kind == NameKind.TARGET.number()) {
            targets.put(id, TargetId.of(fields.text()));
        } else if (kind == NameKind.POOL.number()) {
            pools.put(id, PoolId.of(fields.text()));
        } else if (kind == NameKind.CELL.number()) {
            cells.put(id, CellId.of(pool(), fields.intField()));
        }
    }

    CellId cell() throws IOException {
        int id = fields.intField();
        CellId cell = cells.get(id);
        while (id >= basesByCell.size()) {
            basesByCell.add(new DeltaBases());
        }
        bases = basesByCell.get(id);
        return cell;
    }

    CustomerId customer() throws IOException {
        return customers.get(fields.intField());
    }

    TargetId target() throws IOException {
        return targets.get(fields.intField());
    }

    PoolId pool() throws IOException {
        return pools.get(fields.intField());
    }

    long sequence() throws IOException {
        return bases.applySequenceDelta(fields.field());
    }

    long sequence(long defaultValue) throws IOException {
        return bases.applySequenceDelta(fields.field(defaultValue));
    }

    long number() throws IOException {
        return fields.field();
    }

    long number(long defaultValue) throws IOException {
        return fields.field(defaultValue);
    }

    int intNumber() throws IOException {
        return fields.intField();
    }

    int intNumber(int defaultValue) throws IOException {
        return fields.intField(defaultValue);
    }

    String text() throws IOException {
        return fields.text();
    }

    String text(String defaultText) throws IOException {
        return fields.hasField() ? fields.text() : defaultText;
    }

    /** Reads a text whose length is limited only by the frame. */
    String longText() throws IOException {
        return fields.longText();
    }

    Map<String, String> texts() throws IOException {
        int items = fields.pairs();
        Map<String, String> entries = new TreeMap<>();
        for (int i = 0; i < items; i++) {
            String key = fields.itemText(WireLimits.MAX_NAME_BYTES);
            entries.put(key, fields.itemText(WireLimits.MAX_FRAME_BYTES));
        }
        return entries;
    }

    <T> List<T> list(FieldReader.Step<T> item) throws IOException {
        int items = fields.list();
        List<T> list = new ArrayList<>(items);
        for (int i = 0; i < items; i++) {
            int outer = fields.enter();
            list.add(item.run());
            fields.leave(outer);
        }
        return list;
    }

    Map<CustomerId, Long> charges() throws IOException {
        int items = fields.pairs();
        Map<CustomerId, Long> chargedTokens = new LinkedHashMap<>();
        for (int i = 0; i < items; i++) {
            int id = fields.itemInt();
            CustomerId customer = customers.get(id);
            chargedTokens.put(customer, bases.applyChargedDelta(id, fields.itemLong()));
        }
        return chargedTokens;
    }

    /** The names of one kind by the ids that the sender assigned. */
    private static final class ReceivedNames<T> {
        private final List<@Nullable T> nameById = new ArrayList<>();
        private final int maxNames;

        ReceivedNames(NameKind kind) {
            this.maxNames = kind.maxNames();
        }

        void put(int id, T name) throws WireException {
            if (id < 0 || id >= maxNames) {
                throw new WireException(WireFault.TOO_LARGE);
            }
            while (id >= nameById.size()) {
                nameById.add(null);
            }
            nameById.set(id, name);
        }

        T get(int id) throws WireException {
            T name = id >= 0 && id < nameById.size() ? nameById.get(id) : null;
            if (name == null) {
                throw new WireException(WireFault.UNKNOWN_ID);
            }
            return name;
        }
    }
}
