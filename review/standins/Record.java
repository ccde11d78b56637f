import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of what was sent, answered and run, with times since the start of the script. */
final class Record {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String line) {
    out.printf("%8.3f %s%n", millis() / 1000.0, line);
    out.flush();
  }

  /** Adds a line that is also shown on the console. */
  void say(String line) {
    add(line);
    System.out.printf("%8.3f %s%n", millis() / 1000.0, line);
  }
}
