package io.hemlockbend.testkit.trace;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.hemlockbend.codec.CodecException;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.trace.TraceHeader;
import io.hemlockbend.codec.trace.TraceRecord;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/** Reads traces line by line, so that a long trace need not fit into memory. */
public final class TraceReader {
  private final JsonCodec codec = new JsonCodec();

  /** Creates a reader. */
  public TraceReader() {}

  /**
   * Reads a whole trace.
   *
   * @param file the trace
   * @param sink receives each record in the order of the lines
   * @throws IOException when the file cannot be read
   * @throws TraceException at the first line that is malformed or truncated, or when the header
   *     names another format version
   */
  public void read(Path file, Consumer<TraceLine> sink) throws IOException {
    String name = file.getFileName().toString();
    try (BufferedReader in = Files.newBufferedReader(file)) {
      TracePosition first = new TracePosition(name, 1);
      requireHeader(first, in.readLine());
      int number = 2;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        TracePosition position = new TracePosition(name, number);
        sink.accept(new TraceLine(position, decode(position, line, TraceRecord.class)));
        number++;
      }
    }
  }

  private void requireHeader(TracePosition position, String line) {
    if (line == null) {
      throw new TraceException(position, "the trace is empty", null);
    }
    TraceHeader header = decode(position, line, TraceHeader.class);
    if (!header.equals(TraceHeader.CURRENT)) {
      throw new TraceException(
          position, "expected " + TraceHeader.CURRENT + ", found " + header, null);
    }
  }

  private <T> T decode(TracePosition position, String line, Class<T> type) {
    try {
      return codec.decode(line.getBytes(UTF_8), type);
    } catch (CodecException e) {
      throw new TraceException(position, e.getMessage(), e);
    }
  }
}
