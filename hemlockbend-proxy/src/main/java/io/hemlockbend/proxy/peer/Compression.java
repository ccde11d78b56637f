package io.hemlockbend.proxy.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Compression of the documents that nodes exchange. A configuration is highly repetitive, and a few
 * nodes send it to all others over links that carry callers' requests too.
 */
public final class Compression {
  private static final int MAX_DOCUMENT_BYTES = 64 * 1024 * 1024;

  private Compression() {}

  /** Compresses bytes in the zlib format. */
  public static byte[] compress(byte[] bytes) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
      deflater.write(bytes);
    } catch (IOException e) {
      throw new PeerException("cannot compress " + bytes.length + " bytes", e);
    }
    return out.toByteArray();
  }

  /**
   * Decompresses bytes.
   *
   * @throws PeerException when they are malformed or the result is too long
   */
  public static byte[] decompress(byte[] compressed) {
    try (InflaterInputStream inflater =
        new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      byte[] bytes = inflater.readNBytes(MAX_DOCUMENT_BYTES);
      if (inflater.read() >= 0) {
        throw new PeerException(
            "decompressed document exceeds " + MAX_DOCUMENT_BYTES + " bytes", null);
      }
      return bytes;
    } catch (IOException e) {
      throw new PeerException(
          "malformed compressed document of " + compressed.length + " bytes", e);
    }
  }
}
