package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;

/**
 * The configuration in force and, if any, a newer verified one that is pending. A new configuration
 * stays pending until another node is known to hold it too, or a timeout has passed, so that it is
 * not lost with this process while the platform is unavailable. Versions only increase.
 */
final class HeldConfiguration {
  private static final long SETTLED_MILLIS = 500;

  private final long replicationTimeoutMillis;
  private VersionMark inForceMark = VersionMark.NONE;
  private Configuration inForce = Configuration.EMPTY;
  private VersionMark mark = VersionMark.NONE;
  private Configuration newest = Configuration.EMPTY;
  private VersionMark conflict = VersionMark.NONE;
  private boolean replicated;
  private boolean ready;
  private long heldSinceMillis;

  HeldConfiguration(long replicationTimeoutMillis) {
    this.replicationTimeoutMillis = replicationTimeoutMillis;
  }

  /** Holds a verified configuration, which must be newer than the one held. */
  void hold(
      VersionMark newMark, Configuration configuration, boolean heldElsewhere, long nowMillis) {
    mark = newMark;
    newest = configuration;
    replicated = heldElsewhere;
    heldSinceMillis = nowMillis;
  }

  /** Records that another node holds a configuration. */
  void recordHolder(VersionMark other) {
    replicated |= !mark.newerThan(other);
  }

  /** Puts the newest configuration in force if it is due; returns whether it was. */
  boolean applyWhenDue(int livePeers, long nowMillis) {
    boolean pending = !ready || mark.newerThan(inForceMark);
    boolean due =
        replicated || livePeers == 0 || nowMillis - heldSinceMillis >= replicationTimeoutMillis;
    if (!pending || !due) {
      return false;
    }
    ready = true;
    inForceMark = mark;
    inForce = newest;
    return true;
  }

  /** Returns whether a mark of the held version with another digest is seen for the first time. */
  boolean newConflict(VersionMark other) {
    boolean conflicts =
        !other.version().equals(ConfigurationVersion.NONE)
            && other.version().equals(mark.version())
            && !other.digest().equals(mark.digest());
    if (!conflicts || other.equals(conflict)) {
      return false;
    }
    conflict = other;
    return true;
  }

  boolean settled(long nowMillis) {
    return nowMillis - heldSinceMillis >= SETTLED_MILLIS;
  }

  boolean ready() {
    return ready;
  }

  VersionMark inForceMark() {
    return inForceMark;
  }

  Configuration inForce() {
    return inForce;
  }

  VersionMark mark() {
    return mark;
  }

  Configuration newest() {
    return newest;
  }
}
