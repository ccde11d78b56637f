package io.hemlockbend.core.admission;

import java.util.List;

/** The decision of admission on a request. */
public sealed interface AdmissionDecision {

  /**
   * The request may run now.
   *
   * @param permit its permit, to be released once
   */
  record Admitted(Permit permit) implements AdmissionDecision {}

  /**
   * The request is queued.
   *
   * @param ticket identifies it in later {@link AdmissionChanges}
   * @param shed queued requests that are refused in its favor
   */
  record Queued(Ticket ticket, List<Dropped> shed) implements AdmissionDecision {

    /** Copies the list. */
    public Queued {
      shed = List.copyOf(shed);
    }
  }

  /**
   * The request is refused and has not run.
   *
   * @param reason why
   */
  record Refused(RefusalReason reason) implements AdmissionDecision {}
}
