package io.hemlockbend.testkit.replay;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.testkit.trace.TraceLine;
import java.util.List;
import java.util.Set;

/** Checks one rule over a trace; driven by one thread, over one trace. */
public interface OutcomeCheck {
  /** Returns the types of the records that the check is to see. */
  Set<Class<? extends TraceRecord>> wants();

  /** Takes note of a record of one of these types. */
  void see(TraceLine line);

  /** Returns all violations, once the whole trace was seen. */
  List<Violation> violations();
}
