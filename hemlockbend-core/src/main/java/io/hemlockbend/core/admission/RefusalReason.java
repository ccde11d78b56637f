package io.hemlockbend.core.admission;

/** Why admission refused a request; whatever the reason, the request has not run. */
public enum RefusalReason {
  /** The upstream does not answer its node. */
  NOT_READY("not-ready"),
  /** The upstream or its node leaves. */
  DRAINING("draining"),
  /** The failure domain takes no new work. */
  DOMAIN_WITHDRAWN("domain-withdrawn"),
  /** The upstream's version takes no traffic. */
  VERSION_BRAKED("version-braked"),
  /** The upstream answers for another version than the entry chose. */
  WRONG_VERSION("wrong-version"),
  /** The queue holds as many requests that are as urgent or more. */
  QUEUE_FULL("queue-full"),
  /** The request would not be answered before its deadline. */
  DEADLINE("deadline"),
  /** The request crashed upstreams. */
  QUARANTINED("quarantined"),
  /** The caller went away while the request waited. */
  CANCELLED("cancelled");

  private final String word;

  RefusalReason(String word) {
    this.word = word;
  }

  /** Returns the word that the reason header carries. */
  public String word() {
    return word;
  }

  /** Returns whether the upstream takes no work at all, rather than too much of it. */
  public boolean closed() {
    return switch (this) {
      case NOT_READY, DRAINING, DOMAIN_WITHDRAWN, VERSION_BRAKED, WRONG_VERSION -> true;
      case QUEUE_FULL, DEADLINE, QUARANTINED, CANCELLED -> false;
    };
  }
}
