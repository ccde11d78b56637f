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

/** Encodes and decodes frames: a big-endian length of four bytes and one message in MessagePack. */
public final class FrameCodec {
  /** The length of the header that precedes the message. */
  public static final int HEADER_BYTES = Integer.BYTES;

  private final MessagePackCodec codec;
  private final int maxFrameBytes;

  /**
   * Creates a codec.
   *
   * @param codec encodes and decodes messages
   * @param maxFrameBytes the maximum length of an encoded message
   */
  public FrameCodec(MessagePackCodec codec, int maxFrameBytes) {
    this.codec = codec;
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Returns the frame of a message.
   *
   * @throws WireException when the message is too long or cannot be encoded
   */
  public byte[] encode(PeerMessage message) {
    byte[] body = encodeBody(message);
    requireLength(body.length);
    return ByteBuffer.allocate(HEADER_BYTES + body.length).putInt(body.length).put(body).array();
  }

  /**
   * Reads one frame.
   *
   * @param in the stream to read from
   * @return the message, or empty when the stream ended before a frame began
   * @throws WireException when the frame is empty, too long, truncated, late or malformed, or the
   *     connection fails
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
      throw new WireException(WireException.Kind.TIMEOUT, "frame not complete in time", e);
    } catch (IOException e) {
      throw new WireException(WireException.Kind.CONNECTION, "connection failed", e);
    }
  }

  /**
   * A decoded frame.
   *
   * @param message the message
   * @param bytes the length of its frame
   */
  public record Frame(PeerMessage message, int bytes) {}

  private static int readFirstByte(DataInputStream in) {
    try {
      return in.read();
    } catch (SocketTimeoutException e) {
      throw new WireException(
          WireException.Kind.TIMEOUT, "no frame began within the idle time-out", e);
    } catch (IOException e) {
      throw new WireException(WireException.Kind.CONNECTION, "connection failed", e);
    }
  }

  private byte[] encodeBody(PeerMessage message) {
    try {
      return codec.encode(message);
    } catch (CodecException e) {
      throw new WireException(WireException.Kind.MALFORMED, "message cannot be encoded", e);
    }
  }

  private PeerMessage decode(byte[] body) {
    try {
      return codec.decode(body, PeerMessage.class);
    } catch (CodecException e) {
      throw new WireException(WireException.Kind.MALFORMED, "not a valid control message", e);
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
