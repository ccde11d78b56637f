package io.hemlockbend.codec;

/** Encodes and decodes values; thread-safe. */
public sealed interface Codec permits JsonCodec, MessagePackCodec {
  /**
   * Encodes a value.
   *
   * @param value a record of the core, or a record composed of them
   * @return the encoded bytes
   * @throws CodecException when the value cannot be encoded
   */
  byte[] encode(Object value);

  /**
   * Decodes a value.
   *
   * @param bytes the encoded value, without trailing bytes
   * @param type the type of the encoded value, or its sealed interface
   * @return the value
   * @throws CodecException when the bytes are malformed, too long, or of another type
   */
  <T> T decode(byte[] bytes, Class<T> type);
}
