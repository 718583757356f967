import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The file {@code record.txt}: a line for each thing that was sent, run or answered. Thread-safe. */
final class Record {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    synchronized void line(String format, Object... arguments) {
        double seconds = (System.nanoTime() - startNs) / 1e9;
        out.printf("%9.3f s  %s%n", seconds, arguments.length == 0 ? format : String.format(format, arguments));
    }

    /** Writes a line to the record and to the standard output. */
    void tell(String format, Object... arguments) {
        line(format, arguments);
        System.out.printf(format + "%n", arguments);
    }

    synchronized void close() {
        out.close();
    }
}
