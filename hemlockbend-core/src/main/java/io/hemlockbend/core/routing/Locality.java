package io.hemlockbend.core.routing;

/** Whether and why a request leaves the failure domain of its entry. */
public enum Locality {
  /** The request stays in the failure domain. */
  OWN_DOMAIN("own-domain"),
  /** The upstream is determined by the request's idempotency key. */
  BY_KEY("by-key"),
  /** The failure domain has no eligible upstream. */
  NONE_LOCAL("none-local"),
  /** The upstreams of the failure domain are busy. */
  LOCAL_BUSY("local-busy");

  private final String text;

  Locality(String text) {
    this.text = text;
  }

  /** Returns the reason as logged. */
  public String text() {
    return text;
  }
}
