package org.marjoramswitch.kernel.watch;

import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.model.InstanceId;

/** What {@link WatchSharing} wants done. */
public sealed interface WatchAction {
    /** Send a peer a message. */
    record Send(InstanceId to, PeerMessage message) implements WatchAction {}

    /** Tell this instance's own duty that an entry below the prefix was written or, without a value, removed. */
    record Notify(String prefix, PeerMessage.WatchedEntry change) implements WatchAction {}

    /** Watch the prefix at the service itself, from the revision after this one. */
    record StartWatch(String prefix, long afterRevision) implements WatchAction {}

    /** End the own watch of the prefix; peers tell of it. */
    record StopWatch(String prefix) implements WatchAction {}
}
