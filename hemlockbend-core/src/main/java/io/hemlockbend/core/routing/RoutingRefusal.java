package io.hemlockbend.core.routing;

/** Why an entry refuses a request, which in no case has run. */
public enum RoutingRefusal {
  /** The node has no configuration in force yet. */
  NOT_READY("node-not-ready"),
  /** No route matches the path. */
  NO_ROUTE("no-route"),
  /** No eligible upstream of the version accepts new work. */
  NO_UPSTREAM("no-upstream"),
  /** All eligible upstreams have been tried. */
  EXHAUSTED("all-upstreams-tried"),
  /** The request was in flight at too many crashes of upstreams. */
  QUARANTINED("quarantined"),
  /** The caller's deadline has passed. */
  DEADLINE("deadline-passed"),
  /** A header of the mesh is malformed. */
  BAD_REQUEST("bad-request");

  private final String reasonToken;

  RoutingRefusal(String reasonToken) {
    this.reasonToken = reasonToken;
  }

  /** Returns the reason as logged and as sent to the caller. */
  public String reasonToken() {
    return reasonToken;
  }
}
