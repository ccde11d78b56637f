package io.hemlockbend.codec.trace;

/**
 * The first line of a trace.
 *
 * @param format always {@link #FORMAT}
 * @param version the version of the format
 */
public record TraceHeader(String format, int version) {
  /** The name of the format. */
  public static final String FORMAT = "hemlockbend-trace";

  /** The header of traces that this release writes and reads. */
  public static final TraceHeader CURRENT = new TraceHeader(FORMAT, 1);
}
