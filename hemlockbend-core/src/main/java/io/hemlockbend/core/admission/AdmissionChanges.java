package io.hemlockbend.core.admission;

import java.util.List;

/**
 * Changes to queued requests; each request occurs at most once.
 *
 * @param granted requests that may run now
 * @param dropped requests that are refused
 */
public record AdmissionChanges(List<Grant> granted, List<Dropped> dropped) {
  /** No request changed. */
  public static final AdmissionChanges NONE = new AdmissionChanges(List.of(), List.of());

  /** Copies the lists. */
  public AdmissionChanges {
    granted = List.copyOf(granted);
    dropped = List.copyOf(dropped);
  }
}
