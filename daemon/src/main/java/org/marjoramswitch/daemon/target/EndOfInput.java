package org.marjoramswitch.daemon.target;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Confirms the end of a response that ends with its connection. A target that closes a connection while a request lies unread
 * there ends it like a complete response first, and resets it when the remainder of the request arrives. The end is therefore
 * held back for a time in which a reset would arrive, and then counts only if the connection has not been reset.
 *
 * <p>A connection that has ended for reading shows a reset only to a write, so an empty line is written, which servers ignore
 * after a request. A connection whose end was confirmed carries no further request.
 *
 * <p>Confined to the connection's I/O thread.
 */
final class EndOfInput extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Several round trips between data centres. */
    static final long CONFIRM_MS = 100;

    private static final byte[] EMPTY_LINE = {'\r', '\n'};
    private static final AttachmentKey<EndOfInput> KEY = AttachmentKey.create(EndOfInput.class);

    private final StreamConnection connected;
    private final StreamSinkConduit output;
    private @Nullable BooleanSupplier requestSent;
    private State state = State.OPEN;
    private boolean resumed;

    private enum State {
        OPEN,
        /** The input has ended, and a reset may follow. */
        HELD_BACK,
        ENDED,
        RESET
    }

    private EndOfInput(StreamConnection connected) {
        super(connected.getSourceChannel().getConduit());
        this.connected = connected;
        this.output = connected.getSinkChannel().getConduit();
    }

    /** Installs it on a connection from which nothing has been read. */
    static EndOfInput install(StreamConnection connected) {
        EndOfInput end = new EndOfInput(connected);
        connected.getSourceChannel().setConduit(end);
        return end;
    }

    /** Must be called when the connection has been created over the stream. */
    void attachTo(ClientConnection connection) {
        ((Attachable) connection).putAttachment(KEY, this);
    }

    /**
     * The response that is being received ends with the connection.
     *
     * @param requestSent whether the request has been written completely; if it has not at the end of the input, the end is
     *     passed on at once
     */
    static void confirm(ClientConnection connection, BooleanSupplier requestSent) {
        EndOfInput end = ((Attachable) connection).getAttachment(KEY);
        if (end != null) {
            end.requestSent = requestSent;
        }
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return isHeldBack() ? 0 : (int) received(super.read(target));
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        return isHeldBack() ? 0 : received(super.read(targets, offset, length));
    }

    private boolean isHeldBack() throws IOException {
        if (state == State.RESET) {
            throw new IOException("reset after the end of the input");
        }
        return state == State.HELD_BACK;
    }

    private long received(long count) {
        BooleanSupplier sent = requestSent;
        if (count >= 0 || state != State.OPEN || sent == null || !sent.getAsBoolean()) {
            return count;
        }
        state = State.HELD_BACK;
        super.suspendReads();
        connected.getIoThread().executeAfter(this::confirmed, CONFIRM_MS, TimeUnit.MILLISECONDS);
        return 0;
    }

    private void confirmed() {
        if (!connected.isOpen()) {
            return; // the attempt has ended meanwhile
        }
        state = isReset() ? State.RESET : State.ENDED;
        if (resumed) {
            super.wakeupReads();
        }
    }

    /** A write that is not accepted shows that the request has not been received either. */
    private boolean isReset() {
        try {
            return output.write(ByteBuffer.wrap(EMPTY_LINE)) == 0;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void resumeReads() {
        resumed = true;
        if (state != State.HELD_BACK) {
            super.resumeReads();
        }
    }

    @Override
    public void wakeupReads() {
        resumed = true;
        if (state != State.HELD_BACK) {
            super.wakeupReads();
        }
    }

    @Override
    public void suspendReads() {
        resumed = false;
        super.suspendReads();
    }

    @Override
    public boolean isReadResumed() {
        return resumed;
    }
}
