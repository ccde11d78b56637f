package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.trace.CallKind;
import java.util.Locale;

/**
 * One sort of call in a mix.
 *
 * @param kind what is asked
 * @param path the path, which decides on route and priority
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
      throw new IllegalArgumentException("bad call template " + path + " of weight " + weight);
    }
  }

  /**
   * Parses text of the form {@code kind:path:weight}, such as {@code get:/quotes:8}.
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
