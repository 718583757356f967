package org.marjoramswitch.daemon.http;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Ends a connection at the first byte of a response that violates the grammar of HTTP/1.1. The HTTP client's parser accepts
 * such bytes and takes what it makes of them for a field or the end of a body. The read that brings the byte fails, so that
 * the client sees neither it nor what was received with it.
 *
 * <p>Confined to the connection's I/O thread.
 */
public final class GrammarCheck extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final AttachmentKey<GrammarCheck> KEY = AttachmentKey.create(GrammarCheck.class);

    private final ResponseGrammar grammar = new ResponseGrammar();

    private GrammarCheck(StreamSourceConduit next) {
        super(next);
    }

    /** Thrown by reads from a connection whose response is invalid. */
    static final class InvalidResponseException extends IOException {
        private static final long serialVersionUID = 1;

        InvalidResponseException(ResponseFault fault) {
            super("the response is invalid: " + fault);
        }
    }

    /** Installs a check on a connection from which nothing has been read. */
    public static GrammarCheck install(StreamConnection connected) {
        GrammarCheck check = new GrammarCheck(connected.getSourceChannel().getConduit());
        connected.getSourceChannel().setConduit(check);
        return check;
    }

    /** Must be called when the connection has been created over the stream. */
    public void attachTo(ClientConnection connection) {
        ((Attachable) connection).putAttachment(KEY, this);
    }

    /** The check of a connection, to which it must have been attached. */
    public static GrammarCheck of(ClientConnection connection) {
        GrammarCheck check = ((Attachable) connection).getAttachment(KEY);
        if (check == null) {
            throw new IllegalStateException("a connection without a check");
        }
        return check;
    }

    /** A request with this method is about to be sent. */
    public void awaitsHead(String method) {
        grammar.awaitHead(method);
    }

    /** Whether the response was received up to the end that its framing states. */
    public boolean hasEnded() {
        return grammar.hasEnded();
    }

    /** As {@link #hasEnded}, and nothing has followed, so that the connection can carry another exchange. */
    public boolean isReusable() {
        return grammar.hasEnded() && !grammar.hasSurplus();
    }

    /** Whether the body that is being received has no framing, so that it ends with the connection. */
    public boolean endsWithConnection() {
        return grammar.endsWithInput();
    }

    /** What is wrong with the response; null if nothing has been found. */
    public @Nullable ResponseFault fault() {
        return grammar.fault();
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int from = target.position();
        int count = super.read(target);
        grammar.accept(target, from);
        failIfInvalid();
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        int[] from = new int[length];
        for (int i = 0; i < length; i++) {
            from[i] = targets[offset + i].position();
        }
        long count = super.read(targets, offset, length);
        for (int i = 0; i < length; i++) {
            grammar.accept(targets[offset + i], from[i]);
        }
        failIfInvalid();
        return count;
    }

    private void failIfInvalid() throws IOException {
        ResponseFault found = grammar.fault();
        if (found != null) {
            throw new InvalidResponseException(found);
        }
    }
}
