package io.hemlockbend.codec;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hemlockbend.codec.RecordIntrospector.Layout;
import java.io.IOException;

/**
 * Canonical JSON: keys of maps sorted, properties in the order of declaration, null written as
 * null, no white space. Equal values have equal bytes.
 */
public final class JsonCodec implements Codec {
  /** The longest document that is read. */
  public static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

  private static final int MAX_STRING_CHARS = 256 * 1024;
  private static final int MAX_NESTING = 32;

  private final ObjectMapper mapper = MapperFactory.mapper(format(), Layout.FULL);

  /** Makes a codec. */
  public JsonCodec() {}

  @Override
  public byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw error("can't write " + value.getClass().getSimpleName(), e);
    }
  }

  @Override
  public <T> T decode(byte[] bytes, Class<T> type) {
    T value;
    try {
      value = mapper.readValue(bytes, type);
    } catch (IOException | IllegalArgumentException e) {
      throw error("not JSON of " + type.getSimpleName(), e);
    }
    if (value == null) {
      throw new CodecException("not JSON of " + type.getSimpleName() + ": null");
    }
    return value;
  }

  /** Puts the reason and the path to the property into an error, without text of the input. */
  static CodecException error(String what, Exception cause) {
    String reason =
        cause instanceof JsonProcessingException json
            ? json.getOriginalMessage()
            : cause.getMessage();
    String path =
        cause instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()
            ? " at " + mapping.getPathReference()
            : "";
    return new CodecException(what + ": " + reason + path, cause);
  }

  private static JsonFactory format() {
    return JsonFactory.builder()
        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
        .streamReadConstraints(
            StreamReadConstraints.builder()
                .maxNestingDepth(MAX_NESTING)
                .maxStringLength(MAX_STRING_CHARS)
                .maxDocumentLength(MAX_DOCUMENT_BYTES)
                .build())
        .build();
  }
}
