package org.marjoramswitch.daemon.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.kernel.message.PeerMessage;
import org.marjoramswitch.kernel.wire.DecodeResult;
import org.marjoramswitch.kernel.wire.FrameCodec;
import org.marjoramswitch.kernel.wire.LinkDecoder;
import org.marjoramswitch.kernel.wire.LinkEncoder;
import org.marjoramswitch.kernel.wire.WireLimits;

/** One TCP connection to a peer: buffers, handshake, codecs and liveness timestamps. Confined to the links thread. */
final class PeerConnection {
    /** Above this many unsent bytes, messages stay in the ring. */
    static final int MAX_UNSENT_BYTES = 256 << 10;

    private static final int INITIAL_BUFFER_BYTES = 4 << 10;
    private static final int MAX_RETAINED_BUFFER_BYTES = 64 << 10;
    /** Target frame size; a frame exceeds it only if a single message does. */
    private static final int FRAME_TARGET_BYTES = 16 << 10;

    private final SocketChannel channel;
    private final SelectionKey key;
    private final Handshake handshake;
    private final PeerMetrics metrics;
    private final long startedAtMs;
    private final Deque<ByteBuffer> unsent = new ArrayDeque<>();
    private final ByteArrayOutputStream frame = new ByteArrayOutputStream();
    private final LinkEncoder encoder = LinkEncoder.create();
    private final LinkDecoder decoder = LinkDecoder.create();
    private ByteBuffer received = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private @Nullable PeerRoute route;
    private long unsentBytes;
    private long linkId;
    private boolean up;
    private long upSinceMs;
    private long lastReceivedMs;
    private long lastSentMs;
    private long lastMessageMs;
    private long activeSinceMs;

    private PeerConnection(
            SocketChannel channel, SelectionKey key, Handshake handshake, PeerMetrics metrics, long nowMs) {
        this.channel = channel;
        this.key = key;
        this.handshake = handshake;
        this.metrics = metrics;
        this.startedAtMs = nowMs;
    }

    static PeerConnection of(
            SocketChannel channel, SelectionKey key, Handshake handshake, PeerMetrics metrics, long nowMs) {
        return new PeerConnection(channel, key, handshake, metrics, nowMs);
    }

    SocketChannel channel() {
        return channel;
    }

    Handshake handshake() {
        return handshake;
    }

    @Nullable
    PeerRoute route() {
        return route;
    }

    void setRoute(PeerRoute route) {
        this.route = route;
    }

    boolean isUp() {
        return up;
    }

    long upSinceMs() {
        return upSinceMs;
    }

    long linkId() {
        return linkId;
    }

    /** Marks the handshake as completed; messages may be sent from now on. */
    void markUp(long nowMs) {
        up = true;
        linkId = handshake.linkId();
        upSinceMs = nowMs;
        lastReceivedMs = nowMs;
        lastSentMs = nowMs;
        lastMessageMs = nowMs;
        activeSinceMs = nowMs;
    }

    boolean isHandshakeOverdue(long nowMs, PeerLinkOptions options) {
        return !up && nowMs - startedAtMs > options.handshakeTimeoutMs();
    }

    /** Whether the link has recent messages, so that the peer is expected to send heartbeats. */
    boolean isActive(long nowMs, PeerLinkOptions options) {
        return up && nowMs - lastMessageMs <= options.activeForMs();
    }

    boolean isIdle(long nowMs, PeerLinkOptions options) {
        return up && nowMs - lastMessageMs > options.idleAfterMs();
    }

    boolean isSilent(long nowMs, PeerLinkOptions options) {
        return isActive(nowMs, options) && nowMs - Math.max(lastReceivedMs, activeSinceMs) > options.silentAfterMs();
    }

    /**
     * Whether a heartbeat is due. This side sends heartbeats for longer than it expects them, because the peer may have
     * received the last message later and still expects heartbeats.
     */
    boolean isHeartbeatDue(long nowMs, PeerLinkOptions options) {
        return up
                && nowMs - lastMessageMs <= options.activeForMs() + options.silentAfterMs()
                && nowMs - lastSentMs >= options.heartbeatIntervalMs()
                && unsent.isEmpty();
    }

    /** Records that a message other than a heartbeat was sent or received. */
    void onMessage(long nowMs, PeerLinkOptions options) {
        if (!isActive(nowMs, options)) {
            activeSinceMs = nowMs;
        }
        lastMessageMs = nowMs;
    }

    boolean hasSendCapacity() {
        return unsentBytes < MAX_UNSENT_BYTES;
    }

    /**
     * Appends a message to the current frame.
     *
     * @return false if the message exceeds the maximum frame size; the peer's decoder is then out of step with the
     *     encoder
     */
    boolean append(PeerMessage message) {
        byte[] encoded = encoder.encode(message);
        if (encoded.length > WireLimits.MAX_FRAME_BYTES) {
            return false;
        }
        if (encoded.length == 0) {
            metrics.dropped(message);
            return true;
        }
        if (frame.size() + encoded.length > FRAME_TARGET_BYTES) {
            closeFrame();
        }
        frame.writeBytes(encoded);
        metrics.messageOut(message);
        return true;
    }

    /** Closes the current frame and writes as much as the socket accepts. */
    void flush(long nowMs) throws IOException {
        closeFrame();
        write(nowMs);
    }

    /** Sends a handshake message in its own frame. */
    void sendHandshake(byte[] message, long nowMs) throws IOException {
        frame.writeBytes(message);
        flush(nowMs);
    }

    private void closeFrame() {
        int payloadBytes = frame.size();
        if (payloadBytes == 0) {
            return;
        }
        ByteBuffer bytes = ByteBuffer.allocate(FrameCodec.overheadBytes(payloadBytes) + payloadBytes);
        FrameCodec.putPrefix(bytes, payloadBytes);
        bytes.put(frame.toByteArray());
        frame.reset();
        unsent.add(bytes.flip());
        unsentBytes += bytes.remaining();
        metrics.framesOut.inc();
    }

    /** Writes as many bytes of the closed frames as the socket accepts. */
    void write(long nowMs) throws IOException {
        while (!unsent.isEmpty()) {
            ByteBuffer first = unsent.getFirst();
            int sentBytes = channel.write(first);
            unsentBytes -= sentBytes;
            metrics.bytesOut.mark(sentBytes);
            if (sentBytes > 0) {
                lastSentMs = nowMs;
            }
            if (first.hasRemaining()) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            unsent.removeFirst();
        }
        key.interestOps(SelectionKey.OP_READ);
    }

    /** Reads the available bytes; returns their number, or a negative number at the end of the stream. */
    int read(long nowMs) throws IOException {
        if (!received.hasRemaining()) {
            growBuffer();
        }
        int bytes = channel.read(received);
        if (bytes > 0) {
            lastReceivedMs = nowMs;
            metrics.bytesIn.mark(bytes);
        }
        return bytes;
    }

    /**
     * Passes each complete received frame to the handler.
     *
     * @return false if the bytes are not valid frames or the handler returned false
     */
    boolean readFrames(FrameHandler handler) throws IOException {
        received.flip();
        boolean valid = true;
        while (valid) {
            int start = received.position();
            int payloadBytes = FrameCodec.payloadBytes(received, maxFrameBytes());
            if (payloadBytes == FrameCodec.INVALID) {
                valid = false;
                break;
            }
            if (payloadBytes == FrameCodec.INCOMPLETE || received.remaining() < payloadBytes) {
                received.position(start);
                break;
            }
            int at = received.position();
            received.position(at + payloadBytes);
            metrics.framesIn.inc();
            valid = handler.onFrame(received.array(), at, payloadBytes);
        }
        received.compact();
        shrinkBuffer();
        return valid;
    }

    DecodeResult decode(byte[] bytes, int offset, int lengthBytes) {
        return decoder.decode(bytes, offset, lengthBytes);
    }

    void close() {
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing is left to release; the connection is abandoned either way.
        }
    }

    private int maxFrameBytes() {
        return up ? WireLimits.MAX_FRAME_BYTES : HandshakeCodec.MAX_BYTES;
    }

    /** Grows with the bytes received, not the announced frame length, so that a forged length allocates nothing. */
    private void growBuffer() {
        ByteBuffer larger = ByteBuffer.allocate(
                Math.min(received.capacity() * 2, WireLimits.MAX_FRAME_BYTES + FrameCodec.MAX_OVERHEAD_BYTES));
        received.flip();
        received = larger.put(received);
    }

    private void shrinkBuffer() {
        if (received.position() == 0 && received.capacity() > MAX_RETAINED_BUFFER_BYTES) {
            received = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
        }
    }

    /** Processes the payload of one frame; returns false to stop. */
    interface FrameHandler {
        boolean onFrame(byte[] bytes, int offset, int lengthBytes) throws IOException;
    }
}
