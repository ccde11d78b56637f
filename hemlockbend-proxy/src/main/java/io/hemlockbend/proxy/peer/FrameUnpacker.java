package io.hemlockbend.proxy.peer;

import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;

/**
 * Unpacks one frame. A length that exceeds the frame is refused before memory is allocated for what
 * it announces.
 */
final class FrameUnpacker extends MessageUnpacker {
  private final int frameBytes;

  FrameUnpacker(byte[] frame) {
    super(new ArrayBufferInput(frame), MessagePack.DEFAULT_UNPACKER_CONFIG);
    this.frameBytes = frame.length;
  }

  @Override
  public int unpackArrayHeader() throws IOException {
    return checked(super.unpackArrayHeader());
  }

  @Override
  public int unpackBinaryHeader() throws IOException {
    return checked(super.unpackBinaryHeader());
  }

  private int checked(int length) {
    if (length < 0 || length > frameBytes) {
      throw new PeerException(
          "length " + length + " exceeds the frame of " + frameBytes + " bytes", null);
    }
    return length;
  }
}
