package io.hemlockbend.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hemlockbend.codec.RecordIntrospector.Layout;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Compact MessagePack: records as arrays of their components, enum constants as their index,
 * subtypes of sealed interfaces as a pair of a one-letter name and the record. Both ends must
 * therefore agree on the order of components and constants.
 */
public final class MessagePackCodec implements Codec {
  /** The maximum length of a message. */
  public static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

  private final ObjectMapper mapper =
      MapperFactory.mapper(new MessagePackFactory(), Layout.COMPACT);

  /** Creates a codec. */
  public MessagePackCodec() {}

  @Override
  public byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw JsonCodec.error("cannot encode " + value.getClass().getSimpleName(), e);
    }
  }

  @Override
  public <T> T decode(byte[] bytes, Class<T> type) {
    requireSingleValue(bytes);
    T value;
    try {
      value = mapper.readValue(bytes, type);
    } catch (IOException | IllegalArgumentException | MessagePackException e) {
      throw JsonCodec.error("invalid MessagePack for " + type.getSimpleName(), e);
    }
    if (value == null) {
      throw new CodecException("invalid MessagePack for " + type.getSimpleName() + ": null");
    }
    return value;
  }

  /**
   * Validates all lengths first, since the parser allocates as much as an encoded length declares.
   */
  private static void requireSingleValue(byte[] bytes) {
    if (bytes.length > MAX_MESSAGE_BYTES) {
      throw new CodecException(
          "message must have at most " + MAX_MESSAGE_BYTES + " bytes, got " + bytes.length);
    }
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.getTotalReadBytes() != bytes.length) {
        throw new CodecException("trailing bytes after the message");
      }
    } catch (IOException | MessagePackException e) {
      throw new CodecException("message is malformed or truncated", e);
    }
  }
}
