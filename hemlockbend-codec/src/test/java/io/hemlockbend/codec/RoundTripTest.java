package io.hemlockbend.codec;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.codec.trace.TraceHeader;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.Row;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RoundTripTest {
  private static final int SEEDS = 40;
  private static final JsonCodec JSON = new JsonCodec();
  private static final MessagePackCodec MESSAGE_PACK = new MessagePackCodec();

  static Stream<Class<?>> sealedInterfaces() {
    return Stream.of(
        Change.class,
        DomainState.class,
        PeerMessage.class,
        RowValue.class,
        RowWrite.class,
        Condition.class,
        TransactionOutcome.class,
        TraceRecord.class);
  }

  static Stream<Class<?>> records() {
    return Stream.of(
        Configuration.class,
        Transaction.class,
        Row.class,
        Member.class,
        DecisionRecord.class,
        AnnouncementBody.class,
        TraceHeader.class);
  }

  @ParameterizedTest
  @MethodSource("sealedInterfaces")
  void everySubtypeRoundTripsAsItsInterface(Class<?> base) {
    for (Class<?> subtype : base.getPermittedSubclasses()) {
      assertRoundTrip(subtype, base);
      assertRoundTrip(subtype, subtype);
    }
  }

  @ParameterizedTest
  @MethodSource("sealedInterfaces")
  void namesOfSubtypesDiffer(Class<?> base) {
    Set<String> names = new HashSet<>();
    for (Class<?> subtype : base.getPermittedSubclasses()) {
      assertThat(names.add(TypeNames.of(subtype).full())).isTrue();
      assertThat(names.add(TypeNames.of(subtype).brief())).isTrue();
    }
  }

  @ParameterizedTest
  @MethodSource("records")
  void everyRecordRoundTrips(Class<?> type) {
    assertRoundTrip(type, type);
  }

  private static void assertRoundTrip(Class<?> type, Class<?> decodedAs) {
    for (long seed = 0; seed < SEEDS; seed++) {
      Object value = new Samples(seed).of(type);
      for (Codec codec : Arrays.asList(JSON, MESSAGE_PACK)) {
        byte[] bytes = codec.encode(value);
        Object decoded = codec.decode(bytes, decodedAs);
        assertThat(decoded).isEqualTo(value);
        assertThat(codec.encode(decoded)).isEqualTo(bytes);
      }
    }
  }
}
