package io.hemlockbend.proxy.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class CompressionTest {
  private static final byte[] DOCUMENT =
      "{\"name\":\"r\",\"prefix\":\"/a/\"},".repeat(800).getBytes(StandardCharsets.UTF_8);

  @Test
  void documentRoundTripsAndShrinks() {
    byte[] compressed = Compression.compress(DOCUMENT);
    assertThat(compressed.length).isLessThan(DOCUMENT.length / 10);
    assertThat(Compression.decompress(compressed)).isEqualTo(DOCUMENT);
    assertThat(Compression.decompress(Compression.compress(new byte[0]))).isEmpty();
  }

  @Test
  void rejectsMalformedInput() {
    assertThatThrownBy(() -> Compression.decompress(DOCUMENT)).isInstanceOf(PeerException.class);
  }
}
