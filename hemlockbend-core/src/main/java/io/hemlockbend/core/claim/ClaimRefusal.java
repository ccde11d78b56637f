package io.hemlockbend.core.claim;

/** The reason why a request could not be claimed; this send of it has not run. */
public enum ClaimRefusal {
  /** The platform's table does not respond. */
  PLATFORM_AWAY("platform-away"),
  /** Too many claims are pending. */
  TOO_MANY_CLAIMS("too-many-claims"),
  /** The claim exceeded its maximum age before its response was processed. */
  CLAIM_TOO_OLD("claim-too-old"),
  /** The claim was not written. */
  NOT_WRITTEN("claim-not-written");

  private final String reasonToken;

  ClaimRefusal(String reasonToken) {
    this.reasonToken = reasonToken;
  }

  /** Returns the value of the reason header. */
  public String reasonToken() {
    return reasonToken;
  }
}
