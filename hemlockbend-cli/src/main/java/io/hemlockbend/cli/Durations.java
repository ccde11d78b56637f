package io.hemlockbend.cli;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations such as {@code 15m} and instants such as {@code 2026-12-04T18:00:00Z}. */
final class Durations {
  private static final Pattern FORMAT = Pattern.compile("([1-9][0-9]{0,8})(ms|s|m|h|d)");
  private static final Map<String, Long> UNIT_MILLIS =
      Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);

  private Durations() {}

  /**
   * Parses a duration.
   *
   * @return milliseconds
   * @throws IllegalArgumentException when the text has another format
   */
  static long millis(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "'" + text + "' is not a duration; expected a positive integer and ms, s, m, h or d");
    }
    return Long.parseLong(matcher.group(1)) * UNIT_MILLIS.get(matcher.group(2));
  }

  /**
   * Parses a deadline: a duration from now, or an instant.
   *
   * @return milliseconds since the epoch
   * @throws IllegalArgumentException when the text has another format
   */
  static long deadlineMillis(String text, long nowMillis) {
    if (FORMAT.matcher(text).matches()) {
      return nowMillis + millis(text);
    }
    try {
      return Instant.parse(text).toEpochMilli();
    } catch (DateTimeException e) {
      throw new IllegalArgumentException(
          "'" + text + "' is not a deadline; expected a duration (15m) or an instant (UTC, ISO)");
    }
  }
}
