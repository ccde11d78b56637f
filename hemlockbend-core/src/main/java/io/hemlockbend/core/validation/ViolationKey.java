package io.hemlockbend.core.validation;

/** The violated rule, with the format of its message. */
public enum ViolationKey {
  /** A part is stored under a name that is not its own. */
  FILED_UNDER_OTHER_NAME("is stored under the name %s"),
  /** A route points at a service that does not exist. */
  ROUTE_SERVICE_MISSING("points at service %s, which does not exist"),
  /** A version belongs to a service that does not exist. */
  VERSION_SERVICE_MISSING("belongs to service %s, which does not exist"),
  /** A service's active version does not exist or was taken back. */
  ACTIVE_VERSION_UNUSABLE("has the active version %s, which does not exist or was taken back"),
  /** A version of a move does not exist or was taken back. */
  MOVE_VERSION_UNUSABLE("names version %s, which does not exist or was taken back"),
  /** A move does not start from the active version. */
  MOVE_NOT_FROM_ACTIVE("starts from %s, but the active version is %s"),
  /** A move's deadline is not after its start, or too long after it. */
  MOVE_DEADLINE_OUT_OF_RANGE("lasts %s ms; 1 to %s ms are allowed"),
  /** A path prefix cannot be matched safely against request paths. */
  PATH_PREFIX_MALFORMED("has the path prefix '%s': %s"),
  /** Two routes have the same path prefix. */
  PATH_PREFIX_TWICE("has the same path prefix '%s' as route %s"),
  /** Too few failure domains would remain in use. */
  TOO_FEW_DOMAINS_LEFT("leaves %s failure domains in use; at least %s are required"),
  /** The ramp of a restore is out of range. */
  RESTORE_RAMP_OUT_OF_RANGE("is restored over %s ms; 1 to %s ms are allowed"),
  /** A configuration has more parts of one kind than nodes are sized for. */
  TOO_MANY_PARTS("has %s %s; at most %s are allowed"),
  /** A change cannot be applied to the configuration. */
  CHANGE_NOT_APPLICABLE("cannot be applied: %s"),
  /** A change concerns a service of another team. */
  NOT_OWNED("concerns %s, which team %s does not own"),
  /** The deadline of a move has already passed. */
  DEADLINE_PASSED("has its deadline at %s ms, but the time is %s ms"),
  /** The change set, staged or direct, has no changes to commit. */
  NOTHING_STAGED("has no staged changes"),
  /** A change set has too many changes. */
  TOO_MANY_CHANGES("has %s changes; at most %s are allowed"),
  /** The commit id was used for a commit by another author. */
  COMMIT_ID_TAKEN("was already used by %s");

  private final String text;

  ViolationKey(String text) {
    this.text = text;
  }

  String text() {
    return text;
  }
}
