package io.hemlockbend.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FrameCodecTest {
  private static DataInputStream stream(byte... bytes) {
    return new DataInputStream(new ByteArrayInputStream(bytes));
  }

  @Test
  void messageRoundTrips() {
    byte[] frame = Messages.FRAMES.encode(Messages.ping(7));
    DataInputStream in = stream(frame);
    assertThat(Messages.FRAMES.read(in))
        .contains(new FrameCodec.Frame(Messages.ping(7), frame.length));
    assertThat(Messages.FRAMES.read(in)).isEmpty();
  }

  @Test
  void everyShortenedFrameIsTruncated() {
    byte[] frame = Messages.FRAMES.encode(Messages.ping(7));
    for (int length = 1; length < frame.length; length++) {
      DataInputStream in = stream(Arrays.copyOf(frame, length));
      assertThatThrownBy(() -> Messages.FRAMES.read(in))
          .isInstanceOfSatisfying(
              WireException.class,
              e -> assertThat(e.kind()).isEqualTo(WireException.Kind.TRUNCATED));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "0, 0, 0, 0, FRAME_LENGTH",
    "-1, -1, -1, -1, FRAME_LENGTH",
    "0, 0, 39, 17, FRAME_LENGTH",
    "0, 0, 0, 1, MALFORMED"
  })
  void invalidFrameIsReportedWithItsKind(byte a, byte b, byte c, byte d, WireException.Kind kind) {
    DataInputStream in = stream(a, b, c, d, (byte) 0xc1);
    assertThatThrownBy(() -> Messages.FRAMES.read(in))
        .isInstanceOfSatisfying(WireException.class, e -> assertThat(e.kind()).isEqualTo(kind));
  }
}
