package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.CallKind;
import java.util.Locale;

/**
 * A template of calls in a mix.
 *
 * @param kind the kind of the calls
 * @param path the path, which determines route and priority
 * @param weight its share of the mix, relative to the other weights
 */
public record CallTemplate(CallKind kind, String path, int weight) {
  private static final int PARTS = 3;

  /**
   * Validates path and weight.
   *
   * @throws IllegalArgumentException when the path has no leading slash or the weight is not
   *     positive
   */
  public CallTemplate {
    if (!path.startsWith("/") || weight < 1) {
      throw new IllegalArgumentException(
          "call needs a path with a leading slash and a weight of at least 1, got "
              + path
              + ":"
              + weight);
    }
  }

  /**
   * Parses a template of the form {@code kind:path:weight}, such as {@code get:/quotes:8}.
   *
   * @throws IllegalArgumentException when the text has another form
   */
  public static CallTemplate parse(String text) {
    String[] parts = text.split(":");
    if (parts.length != PARTS) {
      throw new IllegalArgumentException("call must be kind:path:weight, got '" + text + "'");
    }
    CallKind kind = CallKind.valueOf(parts[0].toUpperCase(Locale.ROOT));
    return new CallTemplate(kind, parts[1], Integer.parseInt(parts[2]));
  }
}
