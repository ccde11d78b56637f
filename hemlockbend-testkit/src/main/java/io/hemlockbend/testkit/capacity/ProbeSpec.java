package io.hemlockbend.testkit.capacity;

import java.util.List;

/**
 * What a probe measures and at which sizes.
 *
 * @param role the role of a node that bears the cost
 * @param name what is measured
 * @param sizeUnit the unit of the size
 * @param unit the unit of the value
 * @param sizes the sizes to measure at, at least four
 * @param target the size that the cost is predicted for
 */
public record ProbeSpec(
    String role, String name, String sizeUnit, String unit, List<Integer> sizes, int target) {

  /** Copies the list of sizes. */
  public ProbeSpec {
    sizes = List.copyOf(sizes);
  }
}
