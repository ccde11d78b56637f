package io.hemlockbend.proxy.peer;

import static org.assertj.core.api.Assertions.assertThatCode;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Frames with random damage: each is decoded or fails with the codec's own exception, whatever
 * lengths it states. Fresh damage comes with {@code -Dfuzz.base=NUMBER}.
 */
class NodeMessageCodecProperties {
  private static final long BASE = Long.getLong("fuzz.base", 0);

  /** Markers of MessagePack that state lengths of up to 4 GB for what follows. */
  private static final int[] LENGTH_MARKERS = {0xc6, 0xc9, 0xdb, 0xdd, 0xdf};

  @Property(tries = 4_000, seed = "23")
  void damagedFrames(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed ^ BASE);
    List<NodeMessage> messages = NodeMessageCodecTest.messages();
    byte[] body = body(messages.get(random.nextInt(messages.size())));
    for (int i = random.nextInt(1, 6); i > 0 && body.length > 0; i--) {
      int at = random.nextInt(body.length);
      body[at] =
          (byte)
              (random.nextBoolean()
                  ? random.nextInt(256)
                  : LENGTH_MARKERS[random.nextInt(LENGTH_MARKERS.length)]);
    }
    byte[] damaged = body;
    assertThatCode(() -> decode(damaged))
        .as("seed %d, base %d", seed, BASE)
        .doesNotThrowAnyException();
  }

  private static void decode(byte[] body) {
    try {
      NodeMessageCodec.read(body);
    } catch (PeerException e) {
      // What a damaged frame should cause.
      return;
    }
  }

  private static byte[] body(NodeMessage message) {
    ByteBuffer frame = NodeMessageCodec.frame(message);
    byte[] body = new byte[frame.remaining() - Integer.BYTES];
    frame.position(Integer.BYTES).get(body);
    return body;
  }
}
