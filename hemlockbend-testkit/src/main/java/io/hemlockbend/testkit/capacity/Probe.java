package io.hemlockbend.testkit.capacity;

/** Measures one cost at several sizes. */
public interface Probe {
  /** Returns what is measured and at which sizes. */
  ProbeSpec spec();

  /** Returns the cost at one size, in the unit of the spec. */
  double measure(int size);
}
