package io.hemlockbend.testkit.matrix;

/** An entry: the node that a caller sends its request to. */
interface Entry {
  /** Returns whether the process is running. */
  boolean alive();

  /** Handles a send and completes it once. */
  void receive(Send send);
}
