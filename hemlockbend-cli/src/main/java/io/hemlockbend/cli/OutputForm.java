package io.hemlockbend.cli;

/** How answers are printed. */
enum OutputForm {
  /** Aligned columns. */
  TABLE,
  /** The answer of the node, one line of JSON. */
  JSON
}
