package org.marjoramswitch.kernel.watch;

import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/** An output of {@link WatchSharing}, to be performed by the caller. */
public sealed interface WatchAction {
    /** Send a message to a peer. */
    record Send(InstanceId to, PeerMessage message) implements WatchAction {}

    /** Notify this instance's listener that an entry below the prefix was written or, without a value, removed. */
    record Notify(String prefix, PeerMessage.WatchedEntry change) implements WatchAction {}

    /** Open a watch of the prefix at the key-value store, starting at the revision after this one. */
    record StartWatch(String prefix, long afterRevision) implements WatchAction {}

    /** Close the own watch of the prefix; updates come from peers. */
    record StopWatch(String prefix) implements WatchAction {}
}
