package io.hemlockbend.cli;

/** How responses are printed. */
enum OutputForm {
  /** Aligned columns. */
  TABLE,
  /** The response of the node as one line of JSON. */
  JSON
}
