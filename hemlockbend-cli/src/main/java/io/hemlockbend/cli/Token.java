package io.hemlockbend.cli;

import java.util.regex.Pattern;

/**
 * An operator's token.
 *
 * @param secret its text, which is never printed
 */
record Token(String secret) {
  private static final Pattern FORMAT = Pattern.compile("[\\x21-\\x7e]{1,128}");

  Token {
    if (!FORMAT.matcher(secret).matches()) {
      throw new IllegalArgumentException(
          "the token is not valid; expected 1 to 128 visible ASCII characters");
    }
  }

  @Override
  public String toString() {
    return "(secret)";
  }
}
