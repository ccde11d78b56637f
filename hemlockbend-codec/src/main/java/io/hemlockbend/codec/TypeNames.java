package io.hemlockbend.codec;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.DomainState;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.TransactionOutcome;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * The type names that distinguish the subtypes of sealed interfaces. Names of core types and trace
 * records are listed, since stored rows, messages and traces contain them: a name must not change
 * when its class is renamed. Unlisted types outside the core use their simple names in lower case,
 * with hyphens.
 */
final class TypeNames {
  private static final String CORE_PACKAGE = "io.hemlockbend.core.";
  private static final Map<Class<?>, Names> LISTED = new HashMap<>();

  static {
    list(Change.PutRoute.class, "put-route", "r");
    list(Change.RemoveRoute.class, "remove-route", "R");
    list(Change.AddVersion.class, "add-version", "v");
    list(Change.RemoveVersion.class, "remove-version", "V");
    list(Change.StartMove.class, "start-move", "m");
    list(Change.AdvanceMove.class, "advance-move", "a");
    list(Change.TakeBack.class, "take-back", "b");
    list(Change.Withdraw.class, "withdraw", "w");
    list(Change.Restore.class, "restore", "s");
    list(Change.FinishRestore.class, "finish-restore", "f");
    list(DomainState.Withdrawn.class, "withdrawn", "w");
    list(DomainState.Restoring.class, "restoring", "r");
    list(PeerMessage.Ping.class, "ping", "p");
    list(PeerMessage.Ack.class, "ack", "a");
    list(PeerMessage.PingRequest.class, "ping-request", "P");
    list(PeerMessage.Announcement.class, "announcement", "n");
    list(PeerMessage.Pull.class, "pull", "u");
    list(PeerMessage.Body.class, "body", "b");
    list(PeerMessage.Delta.class, "delta", "d");
    list(PeerMessage.Join.class, "join", "j");
    list(PeerMessage.Members.class, "members", "m");
    list(PeerMessage.Reconcile.class, "reconcile", "r");
    list(PeerMessage.EvidenceReport.class, "evidence-report", "e");
    list(RowValue.Current.class, "current", "c");
    list(RowValue.History.class, "history", "h");
    list(RowValue.Committed.class, "committed", "C");
    list(RowValue.Staged.class, "staged", "s");
    list(RowValue.Lease.class, "lease", "l");
    list(RowValue.Claim.class, "claim", "k");
    list(RowValue.Audit.class, "audit", "a");
    list(RowWrite.Put.class, "put", "p");
    list(RowWrite.Delete.class, "delete", "d");
    list(Condition.Absent.class, "absent", "a");
    list(Condition.AtRevision.class, "at-revision", "r");
    list(TransactionOutcome.Applied.class, "applied", "a");
    list(TransactionOutcome.Conflicted.class, "conflicted", "c");
    list(TraceRecord.Call.class, "call", "c");
    list(TraceRecord.Run.class, "run", "r");
    list(TraceRecord.ColdOverload.class, "cold-overload", "o");
    list(TraceRecord.Decision.class, "decision", "d");
    list(TraceRecord.Applied.class, "applied", "a");
  }

  private TypeNames() {}

  /**
   * The two names of a type.
   *
   * @param full its name in JSON
   * @param brief its name in MessagePack
   */
  record Names(String full, String brief) {}

  /** Returns the sealed interface that the type is or directly implements, or empty. */
  static Optional<Class<?>> sealedBase(Class<?> type) {
    if (type.isInterface() && type.isSealed()) {
      return Optional.of(type);
    }
    return Arrays.<Class<?>>stream(type.getInterfaces()).filter(Class::isSealed).findFirst();
  }

  /**
   * Returns the names of a subtype.
   *
   * @throws CodecException when a core type is not listed
   */
  static Names of(Class<?> subtype) {
    Names listed = LISTED.get(subtype);
    if (listed != null) {
      return listed;
    }
    if (subtype.getName().startsWith(CORE_PACKAGE)) {
      throw new CodecException("no type name is listed for " + subtype.getName());
    }
    String derived =
        subtype.getSimpleName().replaceAll("(?<=[a-z0-9])(?=[A-Z])", "-").toLowerCase(Locale.ROOT);
    return new Names(derived, derived);
  }

  private static void list(Class<?> type, String full, String brief) {
    LISTED.put(type, new Names(full, brief));
  }
}
