package io.hemlockbend.codec;

import io.hemlockbend.core.api.Digest;
import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;

/** Generates random values of records and sealed interfaces from a seed. */
final class Samples {
  private static final int NUMBER_BOUND = 1000;
  private static final int MAX_ELEMENTS = 3;

  private final Random random;

  Samples(long seed) {
    random = new Random(seed);
  }

  <T> T of(Class<T> type) {
    return type.cast(randomValue(type));
  }

  private Object randomValue(Type type) {
    if (type instanceof ParameterizedType generic) {
      return randomContainer(generic);
    }
    Class<?> raw = (Class<?>) type;
    if (raw == long.class) {
      return random.nextLong(1L << random.nextInt(1, 60));
    }
    if (raw == int.class || raw == Integer.class) {
      return 1 + random.nextInt(NUMBER_BOUND - 1);
    }
    if (raw == double.class) {
      return random.nextDouble() * NUMBER_BOUND;
    }
    if (raw == boolean.class) {
      return random.nextBoolean();
    }
    if (raw == String.class) {
      return "n" + random.nextInt(NUMBER_BOUND);
    }
    if (raw == Digest.class) {
      return new Digest(String.format("%064x", random.nextInt(NUMBER_BOUND)));
    }
    if (raw.isEnum()) {
      return pick(raw.getEnumConstants());
    }
    return raw.isSealed()
        ? randomValue((Type) pick(raw.getPermittedSubclasses()))
        : randomRecord(raw);
  }

  private Object randomContainer(ParameterizedType generic) {
    Type[] arguments = generic.getActualTypeArguments();
    if (generic.getRawType() == Optional.class) {
      return random.nextBoolean() ? Optional.of(randomValue(arguments[0])) : Optional.empty();
    }
    int size = random.nextInt(MAX_ELEMENTS + 1);
    if (generic.getRawType() == SortedMap.class) {
      SortedMap<Object, Object> map = new TreeMap<>();
      for (int i = 0; i < size; i++) {
        map.put(randomValue(arguments[0]), randomValue(arguments[1]));
      }
      return map;
    }
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      list.add(randomValue(arguments[0]));
    }
    return list;
  }

  private Object randomRecord(Class<?> raw) {
    RecordComponent[] components = raw.getRecordComponents();
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    Object[] values =
        Arrays.stream(components)
            .map(RecordComponent::getGenericType)
            .map(this::randomValue)
            .toArray();
    try {
      Constructor<?> constructor = raw.getDeclaredConstructor(types);
      constructor.setAccessible(true);
      return constructor.newInstance(values);
    } catch (ReflectiveOperationException e) {
      throw new AssertionError("cannot instantiate " + raw, e);
    }
  }

  private <E> E pick(E[] choices) {
    return choices[random.nextInt(choices.length)];
  }
}
