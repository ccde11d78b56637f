package io.hemlockbend.codec;

/** Turns values into bytes and back; safe for use by several threads. */
public sealed interface Codec permits JsonCodec, MessagePackCodec {
  /**
   * Encodes a value.
   *
   * @param value a record of the core, or a record of such
   * @return its bytes
   * @throws CodecException when the value has no form
   */
  byte[] encode(Object value);

  /**
   * Decodes a value.
   *
   * @param bytes all of its bytes and no more
   * @param type the type that it was encoded from, or the sealed interface above it
   * @return the value
   * @throws CodecException when the bytes are malformed, too long, or of another type
   */
  <T> T decode(byte[] bytes, Class<T> type);
}
