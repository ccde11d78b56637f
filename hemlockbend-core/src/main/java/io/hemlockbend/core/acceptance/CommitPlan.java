package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.validation.Violation;
import java.util.List;

/** The result of planning a commit. */
public sealed interface CommitPlan {

  /**
   * The changes cannot be accepted.
   *
   * @param violations all violations found
   */
  record Refused(List<Violation> violations) implements CommitPlan {

    /** Copies the list. */
    public Refused {
      violations = List.copyOf(violations);
    }
  }

  /**
   * The changes can be accepted by a transaction once the configuration body is stored.
   *
   * @param next the resulting configuration
   * @param digest its digest
   * @param changes the changes as accepted, with their start times set
   * @param transaction the transaction that accepts the changes
   */
  record Planned(Configuration next, Digest digest, List<Change> changes, Transaction transaction)
      implements CommitPlan {

    /** Copies the list. */
    public Planned {
      changes = List.copyOf(changes);
    }

    /** Returns the version and digest of the next configuration. */
    public VersionMark mark() {
      return new VersionMark(next.version(), digest);
    }
  }
}
