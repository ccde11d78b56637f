package io.hemlockbend.core.routing;

/** Whether and why a request left the own failure domain. */
public enum Locality {
  /** It stays in the own failure domain. */
  OWN_DOMAIN("own-domain"),
  /** The request's idempotency key decides. */
  BY_KEY("by-key"),
  /** The own failure domain has no upstream that may be chosen. */
  NONE_LOCAL("none-local"),
  /** The upstreams of the own failure domain are busy. */
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
