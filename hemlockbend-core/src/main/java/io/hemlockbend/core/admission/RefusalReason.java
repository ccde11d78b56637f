package io.hemlockbend.core.admission;

/** Why admission refused a request, which in no case has run. */
public enum RefusalReason {
  /** The upstream does not respond to its node. */
  NOT_READY("not-ready"),
  /** The upstream or its node is shutting down. */
  DRAINING("draining"),
  /** The failure domain accepts no new work. */
  DOMAIN_WITHDRAWN("domain-withdrawn"),
  /** The upstream's version accepts no traffic. */
  VERSION_BRAKED("version-braked"),
  /** The upstream runs another version than the entry chose. */
  WRONG_VERSION("wrong-version"),
  /** The queue is full of requests that are served before this one. */
  QUEUE_FULL("queue-full"),
  /** The request would not be answered before its deadline. */
  DEADLINE("deadline"),
  /** The request crashed upstreams. */
  QUARANTINED("quarantined"),
  /** The caller disconnected while the request was queued. */
  CANCELLED("cancelled");

  private final String reasonToken;

  RefusalReason(String reasonToken) {
    this.reasonToken = reasonToken;
  }

  /** Returns the value of the reason header. */
  public String reasonToken() {
    return reasonToken;
  }

  /** Returns whether the upstream accepts no such work at all, as opposed to being overloaded. */
  public boolean closed() {
    return switch (this) {
      case NOT_READY, DRAINING, DOMAIN_WITHDRAWN, VERSION_BRAKED, WRONG_VERSION -> true;
      case QUEUE_FULL, DEADLINE, QUARANTINED, CANCELLED -> false;
    };
  }
}
