package org.marjoramswitch.daemon.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import org.marjoramswitch.daemon.settings.HostPort;
import org.marjoramswitch.kernel.model.Member;
import org.marjoramswitch.kernel.wire.FrameCodec;

/** A peer whose bytes the test controls, so that it can fail at any point of the protocol. */
final class RawPeer implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;

    private final ServerSocket server;

    RawPeer() throws IOException {
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MS);
    }

    HostPort address() {
        return HostPort.of("127.0.0.1", server.getLocalPort());
    }

    Socket accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    /** Accepts a connection and completes the acceptor's side of the handshake. */
    Socket acceptLink(Member self, String fleetKey) throws IOException {
        Socket socket = accept();
        Handshake handshake = Handshake.accept(self, fleetKey);
        send(socket, ((HandshakeStep.Reply) handshake.onMessage(receive(socket))).bytes());
        handshake.onMessage(receive(socket));
        send(socket, handshake.accepted());
        return socket;
    }

    static Socket connect(SocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.connect(address, TIMEOUT_MS);
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    static void send(Socket socket, byte[] payload) throws IOException {
        ByteBuffer frame = ByteBuffer.allocate(FrameCodec.MAX_OVERHEAD_BYTES + payload.length);
        FrameCodec.putPrefix(frame, payload.length);
        frame.put(payload);
        socket.getOutputStream().write(frame.array(), 0, frame.position());
    }

    static byte[] receive(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        int first = in.readUnsignedByte();
        int payloadBytes = first == 0xcc ? in.readUnsignedByte() : first;
        return in.readNBytes(payloadBytes);
    }

    /** Reads until the other side closes the connection. */
    static void awaitClose(Socket socket) throws IOException {
        while (socket.getInputStream().read() >= 0) {
            // The received bytes are discarded.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
