package io.hemlockbend.codec;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.AnnotatedConstructor;
import com.fasterxml.jackson.databind.introspect.AnnotatedMember;
import com.fasterxml.jackson.databind.introspect.AnnotatedMethod;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import io.hemlockbend.core.model.Change;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Describes the layout of records to Jackson in place of annotations, which the core cannot have. A
 * record with the sole component {@code value} is written as that value; other records have their
 * components in the order of declaration; subtypes of sealed interfaces have a type name.
 */
final class RecordIntrospector extends JacksonAnnotationIntrospector {
  private static final long serialVersionUID = 1L;
  private static final String VALUE_COMPONENT = "value";
  private static final String TYPE_PROPERTY = "type";

  private final Layout layout;

  /** How records and type names are written. */
  enum Layout {
    /** Records as objects, full type names. */
    FULL,
    /** Records as arrays, brief type names. */
    COMPACT
  }

  RecordIntrospector(Layout layout) {
    this.layout = layout;
  }

  /**
   * Returns the sole component of a record that is written as a plain value; empty for other types.
   */
  static Optional<RecordComponent> valueComponent(Class<?> type) {
    if (!type.isRecord()) {
      return Optional.empty();
    }
    RecordComponent[] components = type.getRecordComponents();
    boolean plain = components.length == 1 && components[0].getName().equals(VALUE_COMPONENT);
    return plain ? Optional.of(components[0]) : Optional.empty();
  }

  @Override
  public Boolean hasAsValue(Annotated annotated) {
    boolean accessor =
        annotated instanceof AnnotatedMethod method
            && method.getName().equals(VALUE_COMPONENT)
            && valueComponent(method.getDeclaringClass()).isPresent();
    return accessor ? Boolean.TRUE : super.hasAsValue(annotated);
  }

  @Override
  public JsonCreator.Mode findCreatorAnnotation(MapperConfig<?> config, Annotated annotated) {
    boolean ofValue =
        annotated instanceof AnnotatedConstructor constructor
            && constructor.getParameterCount() == 1
            && valueComponent(constructor.getDeclaringClass()).isPresent();
    return ofValue ? JsonCreator.Mode.DELEGATING : super.findCreatorAnnotation(config, annotated);
  }

  @Override
  public String[] findSerializationPropertyOrder(AnnotatedClass type) {
    if (!type.getRawType().isRecord()) {
      return super.findSerializationPropertyOrder(type);
    }
    return Arrays.stream(type.getRawType().getRecordComponents())
        .map(RecordComponent::getName)
        .toArray(String[]::new);
  }

  @Override
  public JsonFormat.Value findFormat(Annotated annotated) {
    boolean asArray =
        layout == Layout.COMPACT
            && annotated instanceof AnnotatedClass
            && annotated.getRawType().isRecord()
            && valueComponent(annotated.getRawType()).isEmpty();
    return asArray
        ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)
        : super.findFormat(annotated);
  }

  @Override
  public JsonSetter.Value findSetterInfo(Annotated annotated) {
    boolean nullable =
        annotated.getRawType() == Optional.class
            || annotated instanceof AnnotatedMember member
                && member.getDeclaringClass() == Change.TakeBack.class;
    return JsonSetter.Value.construct(nullable ? Nulls.SET : Nulls.FAIL, Nulls.FAIL);
  }

  @Override
  public JsonTypeInfo.Value findPolymorphicTypeInfo(MapperConfig<?> config, Annotated annotated) {
    boolean named =
        annotated instanceof AnnotatedClass
            && TypeNames.sealedBase(annotated.getRawType()).isPresent();
    if (!named) {
      return null;
    }
    JsonTypeInfo.As inclusion =
        layout == Layout.COMPACT ? JsonTypeInfo.As.WRAPPER_ARRAY : JsonTypeInfo.As.PROPERTY;
    return JsonTypeInfo.Value.construct(
        JsonTypeInfo.Id.NAME, inclusion, TYPE_PROPERTY, null, false, true);
  }

  @Override
  public List<NamedType> findSubtypes(Annotated annotated) {
    Class<?> type = annotated.getRawType();
    if (!type.isInterface() || !type.isSealed()) {
      return null;
    }
    return Arrays.stream(type.getPermittedSubclasses())
        .map(subtype -> new NamedType(subtype, nameOf(subtype)))
        .toList();
  }

  @Override
  public String findTypeName(AnnotatedClass annotated) {
    Class<?> type = annotated.getRawType();
    boolean subtype = !type.isInterface() && TypeNames.sealedBase(type).isPresent();
    return subtype ? nameOf(type) : null;
  }

  private String nameOf(Class<?> subtype) {
    TypeNames.Names names = TypeNames.of(subtype);
    return layout == Layout.COMPACT ? names.brief() : names.full();
  }
}
