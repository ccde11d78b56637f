package io.hemlockbend.testkit.trace;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.trace.TraceHeader;
import io.hemlockbend.codec.trace.TraceRecord;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes a trace. Each line is flushed before the call returns, so that the trace of a process that
 * crashes is complete up to its last line. Thread-safe.
 */
public final class TraceWriter implements AutoCloseable {
  private final JsonCodec codec = new JsonCodec();
  private final BufferedWriter out;

  /**
   * Creates or overwrites the file, and writes the header.
   *
   * @param file the trace
   * @throws UncheckedIOException when the file cannot be written
   */
  public TraceWriter(Path file) {
    try {
      out = Files.newBufferedWriter(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    writeLine(TraceHeader.CURRENT);
  }

  /** Appends a record. */
  public void write(TraceRecord record) {
    writeLine(record);
  }

  private synchronized void writeLine(Object value) {
    try {
      out.write(new String(codec.encode(value), UTF_8));
      out.newLine();
      out.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    try {
      out.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
