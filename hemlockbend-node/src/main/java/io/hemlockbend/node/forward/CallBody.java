package io.hemlockbend.node.forward;

import org.eclipse.jetty.io.Content;

/** The body of a request to forward. */
public sealed interface CallBody {

  /**
   * A body in memory, which can be sent again.
   *
   * @param bytes the body; empty for none
   */
  record Buffered(byte[] bytes) implements CallBody {
    /** No body. */
    public static final Buffered NONE = new Buffered(new byte[0]);
  }

  /**
   * A streamed body, which can be sent only once.
   *
   * @param source the body's content
   * @param length its length in bytes, or -1 when unknown
   */
  record Streamed(Content.Source source, long length) implements CallBody {}
}
