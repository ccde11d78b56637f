package io.hemlockbend.testkit.capacity;

import java.util.List;

/** Measures one cost at several sizes. */
public interface Probe {
  /** Returns the role of a node that bears the cost. */
  String role();

  /** Returns what is measured. */
  String name();

  /** Returns the unit of the size. */
  String sizeUnit();

  /** Returns the unit of the value. */
  String unit();

  /** Returns the sizes to measure at, at least four. */
  List<Integer> sizes();

  /** Returns the size to design for. */
  int target();

  /** Measures at one size. */
  double measure(int size);
}
