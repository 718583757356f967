package org.marjoramswitch.kernel.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Runs drafts, acceptances and deliveries in random order and checks that no accepted setting reverts. Operators of
 * three teams write a shared set of names, acceptors pause between reading and writing, responses are lost, generations
 * arrive in any order, and the store is restored from a backup. A draft's weight is the sequence number of its write,
 * so a reverted setting shows as a lower weight.
 */
class ConfigurationPropertiesTest {
    private static final int INSTANCES = 3;
    private static final List<String> TEAMS = List.of("floor", "hall", "port");

    /** One random step; the meaning of {@code number} depends on the kind. */
    record Step(Kind kind, int instance, int number) {}

    enum Kind {
        WRITE,
        DELETE,
        READ_ACCEPTED,
        READ_DRAFTS,
        PUBLISH,
        PUBLISH_RESPONSE_LOST,
        DELIVER,
        BACKUP,
        RESTORE
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, INSTANCES - 1),
                        Arbitraries.integers().between(0, 1_000))
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(120);
    }

    @Property(tries = 400, seed = "20261202")
    void acceptedSettingsNeverRevertAndAllConverge(@ForAll("steps") List<Step> steps) {
        Model model = new Model();
        steps.forEach(model::apply);
        model.settle();
        model.instances.forEach(instance ->
                assertEquals(model.stored.head(), instance.holder.held().head()));
        model.history.forEach(Model::assertNoDuplicateNames);
    }

    /** The key-value store and the instances that use it. */
    private static final class Model {
        private final Map<String, Draft> drafts = new TreeMap<>();
        private final List<AcceptedTree> history = new ArrayList<>();
        private final List<Instance> instances = new ArrayList<>();
        private AcceptedTree stored = AcceptedTree.NONE;
        private final Map<String, Double> newestWeight = new TreeMap<>();
        private long revision;
        private int writes;
        private Backup backup = new Backup(AcceptedTree.NONE, Map.of(), 0);

        Model() {
            for (int i = 0; i < INSTANCES; i++) {
                instances.add(new Instance());
            }
        }

        void apply(Step step) {
            Instance instance = instances.get(step.instance());
            switch (step.kind()) {
                case WRITE -> write(step.number());
                case DELETE -> delete(step.number());
                case READ_ACCEPTED -> instance.readAccepted(stored);
                case READ_DRAFTS -> instance.readDrafts(drafts);
                case PUBLISH -> publish(instance, true);
                case PUBLISH_RESPONSE_LOST -> publish(instance, false);
                case DELIVER -> deliver(instance, step.number());
                case BACKUP -> backup = new Backup(stored, Map.copyOf(drafts), revision);
                case RESTORE -> restore();
            }
        }

        private void write(int number) {
            revision++;
            writes++;
            String team = TEAMS.get(number % TEAMS.size());
            String customer = "customer-" + number % 4;
            String json = number % 10 == 0 ? "{'wrong':1}" : SettingsAcceptorTest.customer(customer, writes);
            drafts.put(team, SettingsAcceptorTest.draft(team, json, revision));
        }

        private void delete(int number) {
            revision++;
            drafts.remove(TEAMS.get(number % TEAMS.size()));
        }

        /** Continues with the backup's revisions. Every instance has received the newest generation beforehand. */
        private void restore() {
            instances.forEach(instance -> instance.adopt(stored));
            stored = backup.stored();
            drafts.clear();
            drafts.putAll(backup.drafts());
            revision = backup.revision();
        }

        private void publish(Instance instance, boolean responseReceived) {
            AcceptedTree next = instance.decide();
            if (next == null || !instance.read.head().equals(stored.head())) {
                instance.draftsRead = null;
                return;
            }
            history.forEach(earlier -> assertTrue(next.generation() > earlier.generation()));
            assertNoRevert(next);
            stored = next;
            history.add(next);
            if (responseReceived) {
                instance.adopt(next);
            }
            instance.draftsRead = null;
        }

        private void deliver(Instance instance, int number) {
            if (!history.isEmpty()) {
                instance.adopt(history.get(number % history.size()));
            }
        }

        /** Lets one acceptor process all pending drafts and offers the newest generation to every instance. */
        void settle() {
            Instance acceptor = instances.get(0);
            acceptor.readAccepted(stored);
            acceptor.readDrafts(drafts);
            publish(acceptor, false);
            acceptor.readAccepted(stored);
            acceptor.readDrafts(drafts);
            assertNull(acceptor.decide(), "one acceptance is enough");
            if (!history.isEmpty()) {
                instances.forEach(instance -> instance.adopt(history.get(history.size() - 1)));
            }
        }

        /** Checks that no team's setting is older than one accepted before. */
        private void assertNoRevert(AcceptedTree next) {
            next.settings().customers().values().forEach(customer -> {
                Double newest = newestWeight.put(customer.team(), customer.weight());
                assertTrue(newest == null || newest <= customer.weight(), customer + " after " + newest);
            });
        }

        private static void assertNoDuplicateNames(AcceptedTree tree) {
            int definitions = 0;
            for (var body : tree.bodies().entrySet()) {
                definitions += TeamReader.read(body.getKey(), body.getValue().contents())
                        .customers()
                        .size();
            }
            assertEquals(definitions, tree.settings().customers().size());
        }
    }

    /** A copy of the store's content. */
    private record Backup(AcceptedTree stored, Map<String, Draft> drafts, long revision) {}

    /** An instance with its held generation and the state it has read for a possible acceptance. */
    private static final class Instance {
        private final GenerationHolder holder = GenerationHolder.create();
        private AcceptedTree read = AcceptedTree.NONE;
        private List<Draft> draftsRead;

        void readAccepted(AcceptedTree stored) {
            read = stored;
            draftsRead = null;
            adopt(stored);
            assertTrue(holder.held().generation() >= stored.generation());
        }

        /** Reads the drafts; as in a real round, only after the accepted tree. */
        void readDrafts(Map<String, Draft> drafts) {
            draftsRead = List.copyOf(drafts.values());
        }

        AcceptedTree decide() {
            return draftsRead == null
                    ? null
                    : SettingsAcceptor.decide(read, holder.held(), 0, draftsRead)
                            .next();
        }

        void adopt(AcceptedTree tree) {
            long before = holder.held().generation();
            holder.adopt(tree.generation(), tree.head().digest(), tree.bodyByTeam());
            assertTrue(holder.held().generation() >= before);
        }
    }
}
