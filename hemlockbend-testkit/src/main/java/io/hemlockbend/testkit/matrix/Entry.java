package io.hemlockbend.testkit.matrix;

/** What callers send to. */
interface Entry {
  /** Returns whether its process lives. */
  boolean alive();

  /** Takes a send and tells its caller once. */
  void receive(Send send);
}
