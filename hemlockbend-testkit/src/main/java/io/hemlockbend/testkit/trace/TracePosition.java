package io.hemlockbend.testkit.trace;

/**
 * A line of a trace.
 *
 * @param file the name of the file
 * @param line the number of the line, from 1
 */
public record TracePosition(String file, int line) {
  @Override
  public String toString() {
    return file + ":" + line;
  }
}
