package io.hemlockbend.wire;

import io.hemlockbend.codec.CodecException;
import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.core.message.PeerMessage;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Frames of four bytes of length, high byte first, and one message in MessagePack. */
public final class FrameCodec {
  /** The bytes of a frame before its message. */
  public static final int HEADER_BYTES = Integer.BYTES;

  private final MessagePackCodec codec;
  private final int maxFrameBytes;

  /**
   * Makes a codec.
   *
   * @param codec writes and reads messages
   * @param maxFrameBytes the longest message that is read or written
   */
  public FrameCodec(MessagePackCodec codec, int maxFrameBytes) {
    this.codec = codec;
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Returns the frame of a message.
   *
   * @throws WireException when the message is too long or has no form
   */
  public byte[] encode(PeerMessage message) {
    byte[] body = encodeBody(message);
    requireLength(body.length);
    return ByteBuffer.allocate(HEADER_BYTES + body.length).putInt(body.length).put(body).array();
  }

  /**
   * Reads one frame.
   *
   * @param in where to read from
   * @return the message, or empty when the stream ended before a frame began
   * @throws WireException when the frame is too long, cut off, late or malformed
   */
  public Optional<Frame> read(DataInputStream in) {
    int first = readFirstByte(in);
    if (first < 0) {
      return Optional.empty();
    }
    try {
      int length = first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
      requireLength(length);
      byte[] body = new byte[length];
      in.readFully(body);
      return Optional.of(new Frame(decode(body), HEADER_BYTES + length));
    } catch (EOFException e) {
      throw new WireException(WireException.Kind.TRUNCATED, "stream ended within a frame", e);
    } catch (SocketTimeoutException e) {
      throw new WireException(WireException.Kind.TIMEOUT, "frame not whole in time", e);
    } catch (IOException e) {
      throw new WireException(WireException.Kind.CONNECTION, "connection failed", e);
    }
  }

  /**
   * A message as read.
   *
   * @param message the message
   * @param bytes the length of its frame
   */
  public record Frame(PeerMessage message, int bytes) {}

  private static int readFirstByte(DataInputStream in) {
    try {
      return in.read();
    } catch (SocketTimeoutException e) {
      throw new WireException(WireException.Kind.TIMEOUT, "no frame began in time", e);
    } catch (IOException e) {
      throw new WireException(WireException.Kind.CONNECTION, "connection failed", e);
    }
  }

  private byte[] encodeBody(PeerMessage message) {
    try {
      return codec.encode(message);
    } catch (CodecException e) {
      throw new WireException(WireException.Kind.MALFORMED, "message has no form", e);
    }
  }

  private PeerMessage decode(byte[] body) {
    try {
      return codec.decode(body, PeerMessage.class);
    } catch (CodecException e) {
      throw new WireException(WireException.Kind.MALFORMED, "no control message", e);
    }
  }

  private void requireLength(int length) {
    if (length < 1 || length > maxFrameBytes) {
      throw new WireException(
          WireException.Kind.FRAME_LENGTH,
          "frame must have 1 to " + maxFrameBytes + " bytes, got " + Integer.toUnsignedLong(length),
          null);
    }
  }
}
