package io.hemlockbend.node.forward;

import org.eclipse.jetty.io.Content;

/** The body of a request on its way. */
public sealed interface CallBody {

  /**
   * A body held whole, which can be sent again.
   *
   * @param bytes the body; empty for none
   */
  record Held(byte[] bytes) implements CallBody {
    /** No body. */
    public static final Held NONE = new Held(new byte[0]);
  }

  /**
   * A large body, which can be sent once.
   *
   * @param source where it comes from
   * @param length its length in bytes, or -1 when unknown
   */
  record Streamed(Content.Source source, long length) implements CallBody {}
}
