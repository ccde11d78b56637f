package io.hemlockbend.testkit.trace;

/**
 * The position of a line in a trace.
 *
 * @param file the name of the file
 * @param line the number of the line, starting at 1
 */
public record TracePosition(String file, int line) {
  @Override
  public String toString() {
    return file + ":" + line;
  }
}
