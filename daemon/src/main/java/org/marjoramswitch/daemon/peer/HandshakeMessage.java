package org.marjoramswitch.daemon.peer;

/** The four messages of the link handshake, in order; {@link Handshake} describes what each proves. */
@SuppressWarnings("ArrayRecordComponent") // read once, never compared by equals
sealed interface HandshakeMessage {

    /** Initiator to acceptor. */
    record Hello(int version, String instance, long incarnation, byte[] nonce) implements HandshakeMessage {}

    /** Acceptor to initiator, with the acceptor's proof. */
    record Challenge(int version, String instance, long incarnation, byte[] nonce, byte[] proof)
            implements HandshakeMessage {}

    /** Initiator to acceptor, with the initiator's proof. */
    record Proof(long lastLinkId, byte[] proof) implements HandshakeMessage {}

    /** Acceptor to initiator: the link is up. */
    record Accepted() implements HandshakeMessage {}
}
