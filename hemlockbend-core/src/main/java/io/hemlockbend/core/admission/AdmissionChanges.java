package io.hemlockbend.core.admission;

import java.util.List;

/**
 * What became of queued requests; each is named at most once.
 *
 * @param granted those that may run now
 * @param dropped those that are refused
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
