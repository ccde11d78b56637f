package io.hemlockbend.node.forward;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** The header fields that callers and nodes exchange in addition to those of HTTP. */
public final class MeshHeaders {
  /** Identifies the request; the same on all resends. */
  public static final String REQUEST_ID = "Hemlockbend-Request-Id";

  /** Identifies a request that must not run twice. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Remaining time until the deadline, in milliseconds. */
  public static final String DEADLINE_MILLIS = "Hemlockbend-Deadline-Millis";

  /** Names the route; between nodes only. */
  public static final String ROUTE = "Hemlockbend-Route";

  /** Names the version that the entry chose; in answers, the version that answered. */
  public static final String VERSION = "Hemlockbend-Version";

  /** Names the upstream that the entry chose; in answers, the upstream that answered. */
  public static final String UPSTREAM = "Hemlockbend-Upstream";

  /** Carries the priority of the request; between nodes only. */
  public static final String PRIORITY = "Hemlockbend-Priority";

  private static final String PREFIX = "hemlockbend-";

  private MeshHeaders() {}

  /** Returns whether the field belongs to the mesh: neither caller nor upstream may set it. */
  static boolean internal(HttpField field) {
    return field.getLowerCaseName().startsWith(PREFIX);
  }

  /**
   * Returns whether the field applies to one connection only and is not forwarded (RFC 9110,
   * 7.6.1). "Expect" is not forwarded because the node meets the expectation itself by reading the
   * body.
   */
  static boolean hopByHop(HttpField field) {
    return switch (field.getLowerCaseName()) {
      case "connection",
          "expect",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade" ->
          true;
      default -> false;
    };
  }

  /** Returns the end-to-end fields that do not belong to the mesh. */
  static HttpFields forwardable(HttpFields fields) {
    HttpFields.Mutable forwarded = HttpFields.build();
    for (HttpField field : fields) {
      if (!hopByHop(field) && !internal(field)) {
        forwarded.add(field);
      }
    }
    return forwarded;
  }
}
