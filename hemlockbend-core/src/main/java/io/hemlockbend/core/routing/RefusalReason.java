package io.hemlockbend.core.routing;

/** Why an entry refuses a request; every such refusal is made before anything has run. */
public enum RefusalReason {
  /** The node has no configuration yet that it may serve. */
  NOT_READY("node-not-ready"),
  /** No route has a prefix of the path. */
  NO_ROUTE("no-route"),
  /** No live upstream of the version in force takes new work. */
  NO_UPSTREAM("no-upstream"),
  /** All upstreams that could have been tried were tried. */
  EXHAUSTED("all-upstreams-tried"),
  /** The request was in flight at too many crashes. */
  QUARANTINED("quarantined"),
  /** The caller's deadline has passed. */
  DEADLINE("deadline-passed"),
  /** A header field of the mesh is malformed. */
  BAD_REQUEST("bad-request");

  private final String text;

  RefusalReason(String text) {
    this.text = text;
  }

  /** Returns the reason as logged and as sent to the caller. */
  public String text() {
    return text;
  }
}
