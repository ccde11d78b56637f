package io.hemlockbend.proxy.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * The compressed form of documents between nodes. A configuration repeats itself a lot, and it goes
 * from a few nodes to all others over links that carry callers' requests too.
 */
public final class Packing {
  private static final int MAX_BYTES = 64 * 1024 * 1024;

  private Packing() {}

  /** Returns the compressed form of bytes. */
  public static byte[] pack(byte[] bytes) {
    ByteArrayOutputStream packed = new ByteArrayOutputStream();
    try (DeflaterOutputStream deflater = new DeflaterOutputStream(packed)) {
      deflater.write(bytes);
    } catch (IOException e) {
      throw new PeerException("cannot compress " + bytes.length + " bytes", e);
    }
    return packed.toByteArray();
  }

  /**
   * Returns the bytes of a compressed form.
   *
   * @throws PeerException when it is malformed or too long
   */
  public static byte[] unpack(byte[] packed) {
    try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(packed))) {
      byte[] bytes = inflater.readNBytes(MAX_BYTES);
      if (inflater.read() >= 0) {
        throw new PeerException("document of more than " + MAX_BYTES + " bytes", null);
      }
      return bytes;
    } catch (IOException e) {
      throw new PeerException("malformed document of " + packed.length + " bytes", e);
    }
  }
}
