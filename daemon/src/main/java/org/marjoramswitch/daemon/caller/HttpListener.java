package org.marjoramswitch.daemon.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** A listening address whose connections are accepted as long as there are fewer than the limit. */
final class HttpListener implements AutoCloseable {
    private static final int BACKLOG = 1_000;

    private final AcceptingChannel<StreamConnection> channel;
    private final CallerConnections.Http connections;

    private HttpListener(AcceptingChannel<StreamConnection> channel, CallerConnections.Http connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /**
     * Binds the address and starts accepting.
     *
     * @throws UncheckedIOException if the address cannot be bound
     */
    static HttpListener open(
            XnioWorker worker, HostPort address, CallerConnections.Http connections, int maxConnections) {
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                .getMap();
        try {
            AcceptingChannel<StreamConnection> channel = worker.createStreamConnectionServer(
                    new InetSocketAddress(address.host(), address.port()),
                    ChannelListeners.openListenerAdapter(connections),
                    options);
            channel.resumeAccepts();
            return new HttpListener(channel, connections);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The listening address, with the assigned port if port 0 was requested. */
    HostPort boundAddress() {
        InetSocketAddress address = (InetSocketAddress) channel.getLocalAddress();
        return HostPort.of(address.getAddress().getHostAddress(), address.getPort());
    }

    /** Stops accepting and closes the connections. */
    @Override
    public void close() {
        IoUtils.safeClose(channel);
        connections.closeConnections();
    }
}
