package org.marjoramswitch.kernel.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.CustomerId;

/** Divides messages with more items than a peer accepts in one list, since the peer would close the link. */
final class MessageSplitter {
    private static final int MAX_ITEMS = WireLimits.MAX_LIST_ITEMS;
    /** Each entry of a map takes two items. */
    private static final int MAX_PAIRS = MAX_ITEMS / 2;

    private MessageSplitter() {}

    /**
     * Returns messages that together have the effect of the given one, usually only this one. The list is empty if the
     * receiver would take a part of the message for the whole.
     */
    static List<PeerMessage> split(PeerMessage message) {
        if (message instanceof PeerMessage.Charges charges
                && charges.chargedTokens().size() > MAX_PAIRS) {
            return split(charges);
        }
        if (message instanceof PeerMessage.StreamsBegan began && isLong(began.beginnings())) {
            return chunks(
                    began.beginnings(), chunk -> new PeerMessage.StreamsBegan(began.pool(), chunk, began.replicated()));
        }
        if (message instanceof PeerMessage.PlacementsHeld placements && isLong(placements.held())) {
            return chunks(placements.held(), chunk -> new PeerMessage.PlacementsHeld(placements.cell(), chunk));
        }
        if (message instanceof PeerMessage.RejectedDemand demand && isLong(demand.rejected())) {
            return chunks(demand.rejected(), PeerMessage.RejectedDemand::new);
        }
        if (message instanceof PeerMessage.VersionHistory history && isLong(history.versions())) {
            return split(history);
        }
        if (message instanceof PeerMessage.CrashNews news && (isLong(news.crashes()) || isLong(news.served()))) {
            return split(news);
        }
        if (message instanceof PeerMessage.WatchNews news && isLong(news.changes())) {
            return split(news);
        }
        boolean indivisible = (message instanceof PeerMessage.WatchCopy copy && isLong(copy.entries()))
                || (message instanceof PeerMessage.SettingsBodies bodies
                        && bodies.bodyByTeam().size() > MAX_PAIRS);
        return indivisible ? List.of() : List.of(message);
    }

    private static List<PeerMessage> split(PeerMessage.Charges charges) {
        List<Map.Entry<CustomerId, Long>> entries =
                List.copyOf(charges.chargedTokens().entrySet());
        List<PeerMessage> parts = new ArrayList<>();
        for (int from = 0; from < entries.size(); from += MAX_PAIRS) {
            Map<CustomerId, Long> chunk = new LinkedHashMap<>();
            entries.subList(from, Math.min(entries.size(), from + MAX_PAIRS))
                    .forEach(entry -> chunk.put(entry.getKey(), entry.getValue()));
            parts.add(new PeerMessage.Charges(charges.cell(), chunk, charges.freeSlots()));
        }
        return parts;
    }

    /** The history counts as known only once its last part has arrived. */
    private static List<PeerMessage> split(PeerMessage.VersionHistory history) {
        return chunks(
                history.versions(),
                chunk -> new PeerMessage.VersionHistory(0, chunk),
                chunk -> new PeerMessage.VersionHistory(history.knownForMs(), chunk));
    }

    /** The served requests come first, since they are older than the crashes. */
    private static List<PeerMessage> split(PeerMessage.CrashNews news) {
        List<PeerMessage> parts =
                new ArrayList<>(chunks(news.served(), chunk -> new PeerMessage.CrashNews(List.of(), chunk)));
        parts.addAll(chunks(news.crashes(), chunk -> new PeerMessage.CrashNews(chunk, List.of())));
        return parts;
    }

    /** The receiver is complete up to the last revision only once the last part has arrived. */
    private static List<PeerMessage> split(PeerMessage.WatchNews news) {
        long fromRevision = news.fromRevision();
        return chunks(
                news.changes(),
                chunk -> new PeerMessage.WatchNews(news.prefix(), fromRevision, fromRevision, chunk),
                chunk -> new PeerMessage.WatchNews(news.prefix(), fromRevision, news.toRevision(), chunk));
    }

    private static boolean isLong(List<?> items) {
        return items.size() > MAX_ITEMS;
    }

    private static <T> List<PeerMessage> chunks(List<T> items, Function<List<T>, PeerMessage> part) {
        return chunks(items, part, part);
    }

    private static <T> List<PeerMessage> chunks(
            List<T> items, Function<List<T>, PeerMessage> part, Function<List<T>, PeerMessage> lastPart) {
        List<PeerMessage> parts = new ArrayList<>();
        for (int from = 0; from < items.size(); from += MAX_ITEMS) {
            int end = Math.min(items.size(), from + MAX_ITEMS);
            parts.add((end < items.size() ? part : lastPart).apply(items.subList(from, end)));
        }
        return parts;
    }
}
