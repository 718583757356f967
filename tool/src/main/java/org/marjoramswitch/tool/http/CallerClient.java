package org.marjoramswitch.tool.http;

import io.undertow.client.ClientConnection;
import io.undertow.client.http.ClientConnections;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.marjoramswitch.daemon.http.GrammarCheck;
import org.marjoramswitch.daemon.settings.HostPort;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** HTTP/1.1 client that sends one call at a time on a connection and pools idle connections for a short time. */
public final class CallerClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED_BUFFERS = 512;

    /** Well below the idle timeout of common servers, so that a pooled connection is not reused while it is closing. */
    private static final long MAX_IDLE_NS = TimeUnit.SECONDS.toNanos(2);

    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final Map<HostPort, ConcurrentLinkedDeque<IdleConnection>> idle = new ConcurrentHashMap<>();

    private CallerClient(XnioWorker worker) {
        this.worker = worker;
        this.buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    }

    public static CallerClient start(int ioThreads) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, ioThreads)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.WORKER_NAME, "caller")
                .set(Options.THREAD_DAEMON, true)
                .getMap();
        return new CallerClient(Xnio.getInstance().createWorker(options));
    }

    /** Starts a call without blocking; the listener always receives exactly one end. */
    public RunningCall start(HostPort address, HttpCall call, CallListener listener) {
        RunningCall running = new RunningCall(call, address, listener, this::addIdle);
        ClientConnection idleConnection = takeIdle(address);
        if (idleConnection != null) {
            idleConnection.getIoThread().execute(() -> running.send(idleConnection));
            return running;
        }
        worker.openStreamConnection(address.toSocketAddress(), null, OptionMap.EMPTY)
                .addNotifier((opening, ignored) -> opened(opening, running), null);
        return running;
    }

    private void opened(IoFuture<? extends StreamConnection> opening, RunningCall running) {
        if (opening.getStatus() != IoFuture.Status.DONE) {
            running.notConnected();
            return;
        }
        try {
            StreamConnection stream = opening.get();
            stream.getIoThread().execute(() -> running.send(connectionOver(stream)));
        } catch (IOException e) {
            running.notConnected();
        }
    }

    private ClientConnection connectionOver(StreamConnection stream) {
        GrammarCheck check = GrammarCheck.install(stream);
        ClientConnection connection = ClientConnections.over(stream, OptionMap.EMPTY, buffers);
        check.attachTo(connection);
        return connection;
    }

    /** Starts a call and buffers its response; the call is cancelled after {@code timeoutMs}. */
    public CompletableFuture<HttpResponse> execute(HostPort address, HttpCall call, long timeoutMs) {
        ResponseCollector collector = new ResponseCollector();
        RunningCall running = start(address, call, collector);
        worker.getIoThread().executeAfter(running::cancel, timeoutMs, TimeUnit.MILLISECONDS);
        return collector.response();
    }

    @Override
    public void close() {
        idle.values()
                .forEach(connections ->
                        connections.forEach(idleConnection -> IoUtils.safeClose(idleConnection.connection())));
        worker.shutdownNow();
    }

    private @Nullable ClientConnection takeIdle(HostPort address) {
        ConcurrentLinkedDeque<IdleConnection> connections = idle.get(address);
        if (connections == null) {
            return null;
        }
        long nowNs = System.nanoTime();
        for (IdleConnection idleConnection = connections.pollLast();
                idleConnection != null;
                idleConnection = connections.pollLast()) {
            if (idleConnection.connection().isOpen() && nowNs - idleConnection.sinceNs() < MAX_IDLE_NS) {
                return idleConnection.connection();
            }
            IoUtils.safeClose(idleConnection.connection());
        }
        return null;
    }

    private void addIdle(HostPort address, ClientConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        idle.computeIfAbsent(address, any -> new ConcurrentLinkedDeque<>())
                .addLast(new IdleConnection(connection, System.nanoTime()));
    }

    private record IdleConnection(ClientConnection connection, long sinceNs) {}
}
