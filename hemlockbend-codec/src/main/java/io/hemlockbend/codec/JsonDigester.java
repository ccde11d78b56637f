package io.hemlockbend.codec;

import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.ConfigurationDigester;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests the canonical JSON of a configuration with SHA-256 (FIPS 180-4). */
public final class JsonDigester implements ConfigurationDigester {
  private static final String ALGORITHM = "SHA-256";

  private final JsonCodec codec;

  /**
   * Creates a digester.
   *
   * @param codec encodes to canonical JSON
   */
  public JsonDigester(JsonCodec codec) {
    this.codec = codec;
  }

  @Override
  public Digest digest(Configuration configuration) {
    return digestOf(codec.encode(configuration));
  }

  /**
   * Returns the digest of an encoded configuration.
   *
   * @param canonical its canonical JSON
   */
  public static Digest digestOf(byte[] canonical) {
    try {
      byte[] hash = MessageDigest.getInstance(ALGORITHM).digest(canonical);
      return new Digest(HexFormat.of().formatHex(hash));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
