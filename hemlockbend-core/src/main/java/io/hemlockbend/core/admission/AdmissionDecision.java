package io.hemlockbend.core.admission;

import java.util.List;

/** What admission decided on a request. */
public sealed interface AdmissionDecision {

  /**
   * The request may run now.
   *
   * @param permit its right to run; must be released once
   */
  record Admitted(Permit permit) implements AdmissionDecision {}

  /**
   * The request waits for a slot.
   *
   * @param ticket its place; a later change names it
   * @param shed less urgent requests that are refused to make room
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
