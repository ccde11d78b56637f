package io.hemlockbend.testkit.http;

/** The names of headers that callers, the mesh and the stand-in upstream use. */
public final class Headers {
  /** The request id that the caller sets; the same for all resends. */
  public static final String REQUEST_ID = "Hemlockbend-Request-Id";

  /** The remaining time that the caller waits, milliseconds. */
  public static final String DEADLINE_MILLIS = "Hemlockbend-Deadline-Millis";

  /** Whether a request that the mesh did not complete may have run. */
  public static final String OUTCOME = "Hemlockbend-Outcome";

  /** The version that the mesh sent the request to. */
  public static final String VERSION = "Hemlockbend-Version";

  /** The upstream that the mesh sent the request to. */
  public static final String UPSTREAM = "Hemlockbend-Upstream";

  /** The key of a request that may not run twice; the same on each resend. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Crashes the stand-in upstream that runs the request, when {@code true}. */
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
