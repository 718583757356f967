import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in of a requester: sends one request after the other on a channel that it keeps, and reads each answer whole. */
final class Requester implements AutoCloseable {
    private final Fleet.Node node;
    private final Record record;
    private Socket channel;
    private BufferedInputStream in;

    Requester(Fleet.Node node, Record record) {
        this.node = node;
        this.record = record;
    }

    /** Sends a request; null if the channel ended without an answer. */
    Http.Message send(String method, String path, String attempt, int deadlineMs, String headers, String body)
            throws IOException {
        if (channel == null) {
            channel = new Socket();
            channel.setTcpNoDelay(true);
            channel.connect(new InetSocketAddress(node.ip, node.frontend), 1_000);
            in = new BufferedInputStream(channel.getInputStream());
        }
        channel.setSoTimeout(deadlineMs + 1_000);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + Deployment.KEY + "\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n";
        record.line("requester: sends %s %s %s to %s", attempt, method, path, node.name);
        try {
            channel.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(in);
            if (answer == null) {
                record.line("requester: %s ended without an answer", attempt);
                close();
                return null;
            }
            record.line(
                    "requester: %s answered %d, stamp %s, body '%s'",
                    attempt,
                    answer.status(),
                    answer.header("response-stamp"),
                    new String(answer.body(), StandardCharsets.ISO_8859_1));
            if (answer.header("connection").equalsIgnoreCase("close")) {
                close();
            }
            return answer;
        } catch (IOException e) {
            record.line("requester: %s ended: %s", attempt, e);
            close();
            return null;
        }
    }

    @Override
    public void close() {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            record.line("requester: close failed: %s", e);
        }
        channel = null;
    }
}
