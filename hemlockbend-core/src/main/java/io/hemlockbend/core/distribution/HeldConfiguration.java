package io.hemlockbend.core.distribution;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;

/**
 * The configuration in force and, when there is one, a newer verified one that waits. A new
 * configuration waits until another node is known to hold it too, or a bound has passed, so that it
 * is not lost with this process while the platform is away. Versions only grow.
 */
final class HeldConfiguration {
  private static final long SETTLED_MILLIS = 500;

  private final long witnessTimeoutMillis;
  private VersionMark inForceMark = VersionMark.NONE;
  private Configuration inForce = Configuration.EMPTY;
  private VersionMark mark = VersionMark.NONE;
  private Configuration newest = Configuration.EMPTY;
  private VersionMark conflict = VersionMark.NONE;
  private boolean witnessed;
  private boolean ready;
  private long heldMillis;

  HeldConfiguration(long witnessTimeoutMillis) {
    this.witnessTimeoutMillis = witnessTimeoutMillis;
  }

  /** Holds a verified configuration; it must be newer than all before. */
  void hold(VersionMark newMark, Configuration configuration, boolean seenElsewhere, long now) {
    mark = newMark;
    newest = configuration;
    witnessed = seenElsewhere;
    heldMillis = now;
  }

  /** Notes that another node holds this configuration. */
  void witness(VersionMark elsewhere) {
    witnessed |= !mark.newerThan(elsewhere);
  }

  /** Puts the newest configuration in force when it is due; returns whether it was. */
  boolean applyWhenDue(int livePeers, long nowMillis) {
    boolean pending = !ready || mark.newerThan(inForceMark);
    boolean due = witnessed || livePeers == 0 || nowMillis - heldMillis >= witnessTimeoutMillis;
    if (!pending || !due) {
      return false;
    }
    ready = true;
    inForceMark = mark;
    inForce = newest;
    return true;
  }

  /** Returns whether another configuration of the same version was told of for the first time. */
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
    return nowMillis - heldMillis >= SETTLED_MILLIS;
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
