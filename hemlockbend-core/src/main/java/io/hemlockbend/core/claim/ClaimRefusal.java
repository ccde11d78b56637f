package io.hemlockbend.core.claim;

/** Why a request could not be claimed; this send of it has not run. */
public enum ClaimRefusal {
  /** The platform's table does not answer. */
  PLATFORM_AWAY("platform-away"),
  /** Too many claims wait for the table. */
  TOO_MANY_CLAIMS("too-many-claims"),
  /** The claim was too old when its answer came or was processed. */
  CLAIM_TOO_OLD("claim-too-old"),
  /** The claim was not written. */
  NOT_WRITTEN("claim-not-written");

  private final String word;

  ClaimRefusal(String word) {
    this.word = word;
  }

  /** Returns the word that the reason header carries. */
  public String word() {
    return word;
  }
}
