package io.hemlockbend.testkit.http;

/** The names of headers that callers, the mesh and the stand-in upstream use. */
public final class Headers {
  /** The id that a caller gives a request; the same for all resends. */
  public static final String REQUEST_ID = "Hemlockbend-Request-Id";

  /** How long the caller still waits, milliseconds. */
  public static final String DEADLINE_MILLIS = "Hemlockbend-Deadline-Millis";

  /** What the mesh says of a call that it refused. */
  public static final String OUTCOME = "Hemlockbend-Outcome";

  /** The version that the mesh sent the request to. */
  public static final String VERSION = "Hemlockbend-Version";

  /** The upstream that the mesh sent the request to. */
  public static final String UPSTREAM = "Hemlockbend-Upstream";

  /** Marks a request that may not run twice, with the same key on each resend. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Makes the upstream that runs the request crash, when it is {@code true}. */
  public static final String CRASH = "X-Crash";

  /** The id of the request that the stand-in upstream answers. */
  public static final String ANSWERED_REQUEST = "X-Answered-Request";

  /** The version of the stand-in upstream that answers. */
  public static final String ANSWERED_VERSION = "X-Answered-Version";

  /** The stand-in upstream that answers. */
  public static final String ANSWERED_UPSTREAM = "X-Answered-Upstream";

  /** The CRC-32C of the body, in hexadecimal. */
  public static final String CHECKSUM = "X-Checksum-Crc32c";

  private Headers() {}
}
