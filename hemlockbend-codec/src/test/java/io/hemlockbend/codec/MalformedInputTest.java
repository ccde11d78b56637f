package io.hemlockbend.codec;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MalformedInputTest {
  private static final JsonCodec JSON = new JsonCodec();
  private static final MessagePackCodec MESSAGE_PACK = new MessagePackCodec();
  private static final String JSON_CONFIGURATION =
      new String(JSON.encode(Configuration.EMPTY), UTF_8);

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{'type':'withdraw','domain':'tunis','sinceMillis':1,'shape':2} | shape",
        "{'type':'withdraw','domain':'tunis'} | sinceMillis",
        "{'type':'withdraw','domain':null,'sinceMillis':1} | domain",
        "{'type':'withdraw','domain':'tu nis','sinceMillis':1} | failure domain must be",
        "{'type':'withdraw','domain':'tunis','sinceMillis':1.5} | sinceMillis",
        "{'type':'withdraw','domain':'tunis','sinceMillis':null} | sinceMillis",
        "{'type':'withdraw','domain':'tunis','domain':'sfax','sinceMillis':1} | Duplicate",
        "{'type':'withdraw','domain':'tunis','sinceMillis':1} x | Unrecognized token",
        "{'type':'vanish','domain':'tunis'} | vanish",
        "{'domain':'tunis','sinceMillis':1} | type",
        "{'type':'add-version','key':'quotes','owner':'t'} | service/version",
        "{'type':'add-version','key':7,'owner':'t'} | key",
        "null | null",
      })
  void jsonErrorNamesTheCause(String json, String expected) {
    byte[] bytes = json.replace('\'', '"').getBytes(UTF_8);
    assertThatThrownBy(() -> JSON.decode(bytes, Change.class))
        .isInstanceOf(CodecException.class)
        .hasMessageContaining(expected);
  }

  @Test
  void deepNestingIsRefused() {
    byte[] bytes = "[".repeat(100_000).getBytes(UTF_8);
    assertThatThrownBy(() -> JSON.decode(bytes, Change.class)).isInstanceOf(CodecException.class);
  }

  @Test
  void invalidMapKeyIsRefused() {
    byte[] bytes =
        JSON_CONFIGURATION.replace("\"moves\":{}", "\"moves\":{\"a b\":null}").getBytes(UTF_8);
    assertThatThrownBy(() -> JSON.decode(bytes, Configuration.class))
        .isInstanceOf(CodecException.class)
        .hasMessageContaining("service must be");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "c0",
        "c1",
        "c67fffffff",
        "db7fffffff",
        "dd7fffffff",
        "92a170",
        "92a17094",
        "9292929292"
      })
  void malformedMessagePackIsRefused(String hex) {
    byte[] bytes = HexFormat.of().parseHex(hex);
    assertThatThrownBy(() -> MESSAGE_PACK.decode(bytes, PeerMessage.class))
        .isInstanceOf(CodecException.class);
  }

  @Test
  void everyTruncationAndExtensionIsRefused() {
    for (long seed = 0; seed < 20; seed++) {
      PeerMessage message = new Samples(seed).of(PeerMessage.class);
      byte[] bytes = MESSAGE_PACK.encode(message);
      for (int length = 0; length <= bytes.length + 1; length++) {
        byte[] resized = Arrays.copyOf(bytes, length);
        if (length != bytes.length) {
          assertThatThrownBy(() -> MESSAGE_PACK.decode(resized, PeerMessage.class))
              .isInstanceOf(CodecException.class);
        }
      }
    }
  }

  @Test
  void corruptedBytesThrowOnlyCodecExceptions() {
    for (long seed = 0; seed < 20; seed++) {
      byte[] bytes = MESSAGE_PACK.encode(new Samples(seed).of(PeerMessage.class));
      for (int i = 0; i < bytes.length; i++) {
        byte[] corrupted = bytes.clone();
        corrupted[i] ^= (byte) (1 << (i % Byte.SIZE));
        assertThat(decodesOrIsRefused(corrupted)).isTrue();
      }
    }
  }

  private static boolean decodesOrIsRefused(byte[] bytes) {
    try {
      MESSAGE_PACK.decode(bytes, PeerMessage.class);
      return true;
    } catch (CodecException e) {
      return true;
    }
  }
}
