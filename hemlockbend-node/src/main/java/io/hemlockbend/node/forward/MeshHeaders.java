package io.hemlockbend.node.forward;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** The header fields that callers and nodes exchange besides those of HTTP. */
public final class MeshHeaders {
  /** Identifies the request; the same on all resends. */
  public static final String REQUEST_ID = "Hemlockbend-Request-Id";

  /** Identifies a request that may not be repeated. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Milliseconds that the caller still waits. */
  public static final String DEADLINE_MILLIS = "Hemlockbend-Deadline-Millis";

  /** Names the route; between nodes only. */
  public static final String ROUTE = "Hemlockbend-Route";

  /** Names the version that the entry chose; in answers the one that answered. */
  public static final String VERSION = "Hemlockbend-Version";

  /** Names the upstream that the entry chose; in answers the one that answered. */
  public static final String UPSTREAM = "Hemlockbend-Upstream";

  /** Tells urgent from other requests; between nodes only. */
  public static final String PRIORITY = "Hemlockbend-Priority";

  private static final String PREFIX = "hemlockbend-";

  private MeshHeaders() {}

  /** Returns whether the field belongs to the mesh: neither caller nor upstream may set it. */
  static boolean internal(HttpField field) {
    return field.getLowerCaseName().startsWith(PREFIX);
  }

  /**
   * Returns whether the field is about one connection and goes no further (RFC 9110, 7.6.1); the
   * node answers an expectation itself by reading the body.
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

  /** Returns the fields that pass through a node unchanged. */
  static HttpFields passing(HttpFields fields) {
    HttpFields.Mutable passing = HttpFields.build();
    for (HttpField field : fields) {
      if (!hopByHop(field) && !internal(field)) {
        passing.add(field);
      }
    }
    return passing;
  }
}
