package io.hemlockbend.testkit.capacity;

import java.util.List;

/**
 * What a probe measures and where.
 *
 * @param role the role of a node that bears the cost
 * @param name what is measured
 * @param sizeUnit the unit of the size
 * @param unit the unit of the value
 * @param sizes the sizes to measure at, at least four
 * @param target the size to design for
 */
public record ProbeSpec(
    String role, String name, String sizeUnit, String unit, List<Integer> sizes, int target) {

  /** Copies the list. */
  public ProbeSpec {
    sizes = List.copyOf(sizes);
  }
}
