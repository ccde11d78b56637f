package io.hemlockbend.core.validation;

/** What is wrong; each key has the text of its message, in which arguments stand as {@code %s}. */
public enum ViolationKey {
  /** A part is filed under a name that is not its own. */
  FILED_UNDER_OTHER_NAME("is filed under %s"),
  /** A route points at a service that is not there. */
  ROUTE_SERVICE_MISSING("points at service %s, which does not exist"),
  /** A version belongs to a service that is not there. */
  VERSION_SERVICE_MISSING("belongs to service %s, which does not exist"),
  /** A service's active version is not there or was taken back. */
  ACTIVE_VERSION_UNUSABLE("has the active version %s, which does not exist or was taken back"),
  /** A move's version is not there or was taken back. */
  MOVE_VERSION_UNUSABLE("names version %s, which does not exist or was taken back"),
  /** A move does not start from the active version. */
  MOVE_NOT_FROM_ACTIVE("starts from %s, but the active version is %s"),
  /** A move's deadline is not after its start, or too far off. */
  MOVE_DEADLINE_OUT_OF_RANGE("lasts %s ms; 1 to %s ms are allowed"),
  /** A path prefix has a form that no request can be matched to safely. */
  PATH_PREFIX_MALFORMED("has the path prefix '%s': %s"),
  /** Two routes have the same path prefix. */
  PATH_PREFIX_TWICE("has the same path prefix '%s' as route %s"),
  /** Too few failure domains would take work. */
  TOO_FEW_DOMAINS_LEFT("leaves %s failure domains in use; at least %s must be"),
  /** The time of a restore is out of range. */
  RESTORE_RAMP_OUT_OF_RANGE("is restored over %s ms; 1 to %s ms are allowed"),
  /** There are more parts of a kind than nodes are sized for. */
  TOO_MANY_PARTS("has %s %s; at most %s are allowed"),
  /** A change does not fit the configuration that it is to change. */
  CHANGE_NOT_APPLICABLE("does not fit: %s"),
  /** A change concerns a service of another team. */
  NOT_OWNED("concerns %s, which team %s does not own"),
  /** A move is due already. */
  DEADLINE_PASSED("is due at %s ms, and it is %s ms now"),
  /** There is nothing to commit. */
  NOTHING_STAGED("has no staged changes"),
  /** A change set is longer than the bound. */
  TOO_MANY_CHANGES("has %s changes; at most %s are allowed"),
  /** The commit id stands for a commit of someone else. */
  COMMIT_ID_TAKEN("was used by %s");

  private final String text;

  ViolationKey(String text) {
    this.text = text;
  }

  String text() {
    return text;
  }
}
