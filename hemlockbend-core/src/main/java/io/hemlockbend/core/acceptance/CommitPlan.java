package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.validation.Violation;
import java.util.List;

/** What the planner decided. */
public sealed interface CommitPlan {

  /**
   * The changes cannot be accepted.
   *
   * @param violations every fault
   */
  record Refused(List<Violation> violations) implements CommitPlan {

    /** Copies the list. */
    public Refused {
      violations = List.copyOf(violations);
    }
  }

  /**
   * The changes can be accepted by a transaction, once the body is stored.
   *
   * @param next the configuration that they make
   * @param digest its digest
   * @param changes the changes as they are accepted, with their times filled in
   * @param transaction the acceptance
   */
  record Planned(Configuration next, Digest digest, List<Change> changes, Transaction transaction)
      implements CommitPlan {

    /** Copies the list. */
    public Planned {
      changes = List.copyOf(changes);
    }

    /** Returns number and digest of the next configuration. */
    public VersionMark mark() {
      return new VersionMark(next.version(), digest);
    }
  }
}
