package io.hemlockbend.wire;

import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import java.util.List;

/** Messages and settings that the tests share. */
final class Messages {
  static final int MAX_FRAME_BYTES = 10_000;
  static final WireSettings SETTINGS =
      new WireSettings(MAX_FRAME_BYTES, 2, 4, 8, 500, 200, 60_000, 0);
  static final FrameCodec FRAMES = new FrameCodec(new MessagePackCodec(), MAX_FRAME_BYTES);

  private Messages() {}

  static PeerMessage ping(long sequence) {
    return new PeerMessage.Ping(
        new NodeId("a"), sequence, VersionMark.NONE, List.of(), List.of(), List.of());
  }
}
