package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.testkit.trace.TraceLine;
import java.util.List;
import java.util.Set;

/** Checks one rule on one trace; used by one thread. */
public interface OutcomeCheck {
  /** Returns the types of the records that the check needs. */
  Set<Class<? extends TraceRecord>> recordTypes();

  /** Processes a record of one of these types; called in the order of the trace. */
  void accept(TraceLine line);

  /** Returns all violations; called after the last record. */
  List<Violation> violations();
}
