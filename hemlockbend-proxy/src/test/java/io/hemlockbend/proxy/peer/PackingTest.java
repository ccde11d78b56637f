package io.hemlockbend.proxy.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class PackingTest {
  private static final byte[] DOCUMENT =
      "{\"name\":\"r\",\"prefix\":\"/a/\"},".repeat(800).getBytes(StandardCharsets.UTF_8);

  @Test
  void documentRoundTripsAndShrinks() {
    byte[] packed = Packing.pack(DOCUMENT);
    assertThat(packed.length).isLessThan(DOCUMENT.length / 10);
    assertThat(Packing.unpack(packed)).isEqualTo(DOCUMENT);
    assertThat(Packing.unpack(Packing.pack(new byte[0]))).isEmpty();
  }

  @Test
  void rejectsMalformedInput() {
    assertThatThrownBy(() -> Packing.unpack(DOCUMENT)).isInstanceOf(PeerException.class);
  }
}
