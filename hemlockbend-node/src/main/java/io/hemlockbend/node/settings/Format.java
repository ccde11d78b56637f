package io.hemlockbend.node.settings;

import java.util.regex.Pattern;

/** The format and range of a setting's value. */
public enum Format {
  /** A name. */
  NAME("1 to 64 characters of A-Z a-z 0-9 . _ : -", "[A-Za-z0-9._:-]{1,64}"),
  /** An IPv4 or IPv6 address. */
  HOST("an IP address", "[0-9A-Fa-f.:]{2,45}"),
  /** A port number; 0 picks a free port. */
  PORT("0 to 65535, where 0 picks a free port", "\\d{1,5}") {
    @Override
    boolean inRange(String value) {
      return Integer.parseInt(value) <= 65_535;
    }
  },
  /** An HTTP or HTTPS URI. */
  URI("an http:// or https:// URI", "https?://[^\\s/]+(/\\S*)?"),
  /** A duration in milliseconds. */
  MILLIS("1 to 3600000 milliseconds", "\\d{1,7}") {
    @Override
    boolean inRange(String value) {
      int millis = Integer.parseInt(value);
      return millis >= 1 && millis <= 3_600_000;
    }
  },
  /** A size in bytes. */
  BYTES("1024 to 1048576 bytes", "\\d{4,7}") {
    @Override
    boolean inRange(String value) {
      int bytes = Integer.parseInt(value);
      return bytes >= 1024 && bytes <= 1_048_576;
    }
  },
  /** A number of threads. */
  THREADS("8 to 256", "\\d{1,3}") {
    @Override
    boolean inRange(String value) {
      int threads = Integer.parseInt(value);
      return threads >= 8 && threads <= 256;
    }
  },
  /** A list of addresses; may be empty. */
  ADDRESSES(
      "host:port, separated by commas",
      "([0-9A-Za-z.\\-]+:\\d{1,5}(,[0-9A-Za-z.\\-]+:\\d{1,5})*)?"),
  /** A list of operators' tokens; may be empty. */
  TOKENS(
      "token=role:team or token=role:team:name, separated by commas; tokens of 16 to 128 characters"
          + " or sha256: and 64 hexadecimal digits",
      "(" + Format.GRANT + "(," + Format.GRANT + ")*)?");

  private static final String GRANT =
      "[^=,\\s]{16,128}=(reader|operator):([A-Za-z0-9._-]+|\\*)(:[A-Za-z0-9._-]+)?";

  private final String allowed;
  private final Pattern pattern;

  Format(String allowed, String pattern) {
    this.allowed = allowed;
    this.pattern = Pattern.compile(pattern);
  }

  /** Returns a description of the allowed values. */
  public String allowed() {
    return allowed;
  }

  /** Returns whether a value is allowed. */
  boolean accepts(String value) {
    return pattern.matcher(value).matches() && inRange(value);
  }

  boolean inRange(String value) {
    return true;
  }
}
