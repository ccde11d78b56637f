package io.hemlockbend.testkit.upstream;

import java.util.HexFormat;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;

/**
 * A body of pseudorandom bytes from a seed, so that a caller can check it without the original.
 *
 * @param lengthBytes the length of the body
 * @param seed the seed of the bytes
 */
public record Photo(int lengthBytes, long seed) {
  /** The maximum length of a photo. */
  public static final int MAX_BYTES = 16 * 1024 * 1024;

  /**
   * Validates the length.
   *
   * @throws IllegalArgumentException when the length is out of range
   */
  public Photo {
    if (lengthBytes < 0 || lengthBytes > MAX_BYTES) {
      throw new IllegalArgumentException(
          "photo length must be 0 to " + MAX_BYTES + " bytes, got " + lengthBytes);
    }
  }

  /** Generates the bytes. */
  public byte[] bytes() {
    byte[] bytes = new byte[lengthBytes];
    new SplittableRandom(seed).nextBytes(bytes);
    return bytes;
  }

  /** Returns the CRC-32C of a body as eight hexadecimal digits. */
  public static String checksum(byte[] body) {
    CRC32C crc = new CRC32C();
    crc.update(body);
    return HexFormat.of().toHexDigits((int) crc.getValue());
  }
}
