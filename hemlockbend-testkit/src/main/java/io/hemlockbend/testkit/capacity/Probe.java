package io.hemlockbend.testkit.capacity;

/** Measures one cost at several sizes. */
public interface Probe {
  /** Returns what is measured and at which sizes. */
  ProbeSpec spec();

  /** Measures at one size. */
  double measure(int size);
}
