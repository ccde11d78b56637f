package io.hemlockbend.core.api;

import java.util.regex.Pattern;

/** Validates the text of names and ids. */
final class Names {
  private static final Pattern VALID = Pattern.compile("[A-Za-z0-9._:-]{1,64}");

  private Names() {}

  static void require(String label, String value) {
    if (value == null || !VALID.matcher(value).matches()) {
      throw new IllegalArgumentException(
          label + " must be 1 to 64 characters of [A-Za-z0-9._:-], got '" + value + "'");
    }
  }
}
