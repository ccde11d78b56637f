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
  /** The longest message that is read. */
  public static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

  private final ObjectMapper mapper =
      MapperFactory.mapper(new MessagePackFactory(), Layout.COMPACT);

  /** Makes a codec. */
  public MessagePackCodec() {}

  @Override
  public byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw JsonCodec.error("can't write " + value.getClass().getSimpleName(), e);
    }
  }

  @Override
  public <T> T decode(byte[] bytes, Class<T> type) {
    requireOneWholeValue(bytes);
    T value;
    try {
      value = mapper.readValue(bytes, type);
    } catch (IOException | IllegalArgumentException | MessagePackException e) {
      throw JsonCodec.error("not MessagePack of " + type.getSimpleName(), e);
    }
    if (value == null) {
      throw new CodecException("not MessagePack of " + type.getSimpleName() + ": null");
    }
    return value;
  }

  /** Checks all lengths first, since the parser allocates what a length claims. */
  private static void requireOneWholeValue(byte[] bytes) {
    if (bytes.length > MAX_MESSAGE_BYTES) {
      throw new CodecException("message of " + bytes.length + " bytes is too long");
    }
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.getTotalReadBytes() != bytes.length) {
        throw new CodecException("bytes follow the message");
      }
    } catch (IOException | MessagePackException e) {
      throw new CodecException("message is malformed or cut short", e);
    }
  }
}
