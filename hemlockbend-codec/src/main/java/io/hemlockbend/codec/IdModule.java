package io.hemlockbend.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.util.function.Function;

/**
 * Maps ids to keys of JSON objects, and version keys to text of the form {@code service/version}.
 */
final class IdModule extends SimpleModule {
  private static final long serialVersionUID = 1L;
  private static final char SEPARATOR = '/';

  IdModule() {
    addSerializer(new VersionKeyWriter());
    addDeserializer(VersionKey.class, new VersionKeyReader());
    addKeySerializer(Record.class, new IdKeyWriter());
  }

  @Override
  public void setupModule(SetupContext context) {
    super.setupModule(context);
    context.addKeyDeserializers(IdModule::keyReader);
  }

  private static KeyDeserializer keyReader(
      JavaType type, DeserializationConfig config, BeanDescription description) {
    if (type.hasRawClass(VersionKey.class)) {
      return new IdKeyReader(IdModule::parseVersionKey);
    }
    boolean textId =
        RecordIntrospector.valueComponent(type.getRawClass())
            .filter(component -> component.getType() == String.class)
            .isPresent();
    return textId ? new IdKeyReader(text -> construct(type.getRawClass(), text)) : null;
  }

  private static VersionKey parseVersionKey(String text) {
    int separator = text.indexOf(SEPARATOR);
    if (separator < 0) {
      throw new IllegalArgumentException(
          "version must be of the form service/version, got '" + text + "'");
    }
    return new VersionKey(
        new ServiceName(text.substring(0, separator)),
        new VersionName(text.substring(separator + 1)));
  }

  private static Object construct(Class<?> type, String text) {
    try {
      Constructor<?> constructor = type.getDeclaredConstructor(String.class);
      return constructor.newInstance(text);
    } catch (InvocationTargetException e) {
      throw new IllegalArgumentException(e.getCause().getMessage(), e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new CodecException("no accessible constructor from a string in " + type.getName(), e);
    }
  }

  private static final class VersionKeyWriter extends StdScalarSerializer<VersionKey> {
    private static final long serialVersionUID = 1L;

    VersionKeyWriter() {
      super(VersionKey.class);
    }

    @Override
    public void serialize(VersionKey key, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeString(key.toString());
    }
  }

  private static final class VersionKeyReader extends StdScalarDeserializer<VersionKey> {
    private static final long serialVersionUID = 1L;

    VersionKeyReader() {
      super(VersionKey.class);
    }

    @Override
    public VersionKey deserialize(JsonParser in, DeserializationContext context)
        throws IOException {
      if (!in.hasToken(JsonToken.VALUE_STRING)) {
        return (VersionKey) context.handleUnexpectedToken(VersionKey.class, in);
      }
      return parseVersionKey(in.getText());
    }
  }

  private static final class IdKeyWriter extends JsonSerializer<Record> {
    @Override
    public void serialize(Record key, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeFieldName(key.toString());
    }
  }

  private static final class IdKeyReader extends KeyDeserializer {
    private final Function<String, Object> parse;

    IdKeyReader(Function<String, Object> parse) {
      this.parse = parse;
    }

    @Override
    public Object deserializeKey(String key, DeserializationContext context) {
      return parse.apply(key);
    }
  }
}
