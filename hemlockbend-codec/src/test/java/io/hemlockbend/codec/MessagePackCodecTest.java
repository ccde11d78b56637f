package io.hemlockbend.codec;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.model.Configuration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MessagePackCodecTest {
  private static final int SEEDS = 200;

  @ParameterizedTest
  @ValueSource(
      classes = {
        PeerMessage.Ping.class,
        PeerMessage.Members.class,
        PeerMessage.Delta.class,
        PeerMessage.EvidenceReport.class,
        Configuration.class
      })
  void isLessThanHalfTheSizeOfJson(Class<?> type) {
    long jsonBytes = 0;
    long messagePackBytes = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      Object value = new Samples(seed).of(type);
      jsonBytes += new JsonCodec().encode(value).length;
      messagePackBytes += new MessagePackCodec().encode(value).length;
    }
    assertThat(messagePackBytes * 2).isLessThan(jsonBytes);
  }
}
