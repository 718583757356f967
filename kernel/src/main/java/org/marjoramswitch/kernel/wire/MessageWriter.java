package org.marjoramswitch.kernel.wire;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.marjoramswitch.kernel.model.CellId;
import org.marjoramswitch.kernel.model.CustomerId;
import org.marjoramswitch.kernel.model.PoolId;
import org.marjoramswitch.kernel.model.TargetId;

/** The sending side's state of a link and the fields of the message being written. Not thread-safe. */
final class MessageWriter {
    private final FieldWriter fields = new FieldWriter();
    private final FieldWriter definition = new FieldWriter();
    private final ByteArrayOutputStream definitions = new ByteArrayOutputStream();
    private final SentNames<CustomerId> customers = new SentNames<>(NameKind.CUSTOMER);
    private final SentNames<TargetId> targets = new SentNames<>(NameKind.TARGET);
    private final SentNames<PoolId> pools = new SentNames<>(NameKind.POOL);
    private final SentNames<CellId> cells = new SentNames<>(NameKind.CELL);
    private final List<DeltaBases> basesByCell = new ArrayList<>();
    private DeltaBases bases = new DeltaBases();

    MessageWriter begin(MessageType type) {
        definitions.reset();
        fields.begin().field(type.number());
        return this;
    }

    /** Returns the message's bytes, preceded by the definitions of names that it uses for the first time. */
    byte[] end() {
        byte[] message = fields.end();
        if (definitions.size() == 0) {
            return message;
        }
        definitions.writeBytes(message);
        return definitions.toByteArray();
    }

    /** Writes the message's cell; the sequences and charges that follow are delta-encoded for this cell. */
    MessageWriter cell(CellId cell) {
        int id = idOf(cell);
        while (id >= basesByCell.size()) {
            basesByCell.add(new DeltaBases());
        }
        bases = basesByCell.get(id);
        fields.field(id);
        return this;
    }

    MessageWriter customer(CustomerId customer) {
        fields.field(idOf(customer));
        return this;
    }

    MessageWriter target(TargetId target) {
        fields.field(idOf(target));
        return this;
    }

    MessageWriter pool(PoolId pool) {
        fields.field(idOf(pool));
        return this;
    }

    MessageWriter sequence(long sequence) {
        fields.field(bases.sequenceDelta(sequence));
        return this;
    }

    /** Writes a sequence; a trailing delta that equals {@code defaultValue} is omitted. */
    MessageWriter sequence(long sequence, long defaultValue) {
        fields.field(bases.sequenceDelta(sequence), defaultValue);
        return this;
    }

    MessageWriter number(long value) {
        fields.field(value);
        return this;
    }

    MessageWriter number(long value, long defaultValue) {
        fields.field(value, defaultValue);
        return this;
    }

    MessageWriter text(String text) {
        fields.text(text);
        return this;
    }

    /** Writes a text; one that equals {@code defaultText} is omitted if only defaults follow. */
    MessageWriter text(String text, String defaultText) {
        fields.text(text, defaultText);
        return this;
    }

    /** Writes a list of texts, two for each entry. */
    MessageWriter texts(Map<String, String> entries) {
        fields.list(entries.size() * 2);
        entries.forEach((key, value) -> {
            fields.putName(key);
            fields.putText(value);
        });
        fields.endList();
        return this;
    }

    /**
     * Writes a list; {@code item} writes each item with {@link #item} and the put methods. Items beyond the limit of a
     * list are omitted; {@link MessageSplitter} prevents this where they are needed.
     */
    <T> MessageWriter list(List<T> items, Consumer<T> item) {
        List<T> written = items.subList(0, Math.min(items.size(), WireLimits.MAX_LIST_ITEMS));
        fields.list(written.size());
        written.forEach(item);
        fields.endList();
        return this;
    }

    /** Writes running totals by customer, as deltas to those last sent for the cell. */
    MessageWriter charges(Map<CustomerId, Long> chargedTokens) {
        fields.list(chargedTokens.size() * 2);
        chargedTokens.forEach((customer, tokens) -> {
            int id = idOf(customer);
            fields.putLong(id);
            fields.putLong(bases.chargedDelta(id, tokens));
        });
        fields.endList();
        return this;
    }

    MessageWriter item(int itemFields) {
        fields.putArray(itemFields);
        return this;
    }

    MessageWriter put(long value) {
        fields.putLong(value);
        return this;
    }

    MessageWriter put(String name) {
        fields.putName(name);
        return this;
    }

    /** Writes a text whose length is limited only by the frame. */
    MessageWriter putLongText(String text) {
        fields.putText(text);
        return this;
    }

    MessageWriter put(CustomerId customer) {
        return put(idOf(customer));
    }

    MessageWriter put(PoolId pool) {
        return put(idOf(pool));
    }

    MessageWriter put(TargetId target) {
        return put(idOf(target));
    }

    private int idOf(CustomerId customer) {
        return customers.idOf(customer, id -> define(NameKind.CUSTOMER, id).text(customer.name()));
    }

    private int idOf(TargetId target) {
        return targets.idOf(target, id -> define(NameKind.TARGET, id).text(target.name()));
    }

    private int idOf(PoolId pool) {
        return pools.idOf(pool, id -> define(NameKind.POOL, id).text(pool.name()));
    }

    private int idOf(CellId cell) {
        return cells.idOf(cell, id -> {
            int pool = idOf(cell.pool());
            return define(NameKind.CELL, id).field(pool).field(cell.index());
        });
    }

    private FieldWriter define(NameKind kind, int id) {
        return definition
                .begin()
                .field(LinkEncoder.DEFINITION)
                .field(kind.number())
                .field(id);
    }

    /** The ids of one kind of names on the link; if all are in use, a new name replaces the oldest. */
    private final class SentNames<T> {
        private final Map<T, Integer> idByName = new HashMap<>();
        private final List<T> nameById = new ArrayList<>();
        private final int maxNames;
        private int nextId;

        SentNames(NameKind kind) {
            this.maxNames = kind.maxNames();
        }

        int idOf(T name, IntFunction<FieldWriter> definitionOf) {
            Integer known = idByName.get(name);
            if (known != null) {
                return known;
            }
            int id = nextId;
            nextId = (nextId + 1) % maxNames;
            if (id < nameById.size()) {
                idByName.remove(nameById.set(id, name));
            } else {
                nameById.add(name);
            }
            idByName.put(name, id);
            definitions.writeBytes(definitionOf.apply(id).end());
            return id;
        }
    }
}
