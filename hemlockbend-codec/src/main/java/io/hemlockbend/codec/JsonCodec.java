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
 * Canonical JSON: map keys sorted, properties in the order of declaration, null written as null, no
 * white space. Equal values have equal bytes.
 */
public final class JsonCodec implements Codec {
  /** The maximum length of a document. */
  public static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

  private static final int MAX_STRING_CHARS = 256 * 1024;
  private static final int MAX_NESTING = 32;

  private final ObjectMapper mapper = MapperFactory.mapper(format(), Layout.FULL);

  /** Creates a codec. */
  public JsonCodec() {}

  @Override
  public byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw error("cannot encode " + value.getClass().getSimpleName(), e);
    }
  }

  @Override
  public <T> T decode(byte[] bytes, Class<T> type) {
    T value;
    try {
      value = mapper.readValue(bytes, type);
    } catch (IOException | IllegalArgumentException e) {
      throw error("invalid JSON for " + type.getSimpleName(), e);
    }
    if (value == null) {
      throw new CodecException("invalid JSON for " + type.getSimpleName() + ": null");
    }
    return value;
  }

  /**
   * Returns an exception with the reason and the path to the property, without an excerpt of the
   * input.
   */
  static CodecException error(String operation, Exception cause) {
    String reason =
        cause instanceof JsonProcessingException json
            ? json.getOriginalMessage()
            : cause.getMessage();
    String path =
        cause instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()
            ? " at " + mapping.getPathReference()
            : "";
    return new CodecException(operation + ": " + reason + path, cause);
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
