package io.hemlockbend.codec;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.hemlockbend.codec.RecordIntrospector.Layout;

/** Creates Jackson mappers that write one representation only and reject any other. */
final class MapperFactory {
  private MapperFactory() {}

  static ObjectMapper mapper(JsonFactory format, Layout layout) {
    ObjectMapper mapper =
        new ObjectMapper(format)
            .registerModule(new Jdk8Module())
            .registerModule(new IdModule())
            .setAnnotationIntrospector(new RecordIntrospector(layout));
    mapper.configure(SerializationFeature.FAIL_ON_EMPTY_BEANS, false);
    mapper.configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true);
    mapper.configure(SerializationFeature.WRITE_ENUMS_USING_INDEX, layout == Layout.COMPACT);
    mapper.configure(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS, layout == Layout.FULL);
    mapper.enable(
        DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
        DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES,
        DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    mapper.configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, layout == Layout.FULL);
    mapper.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);
    return mapper;
  }
}
