/** Reads and writes recorded traces. */
package io.hemlockbend.testkit.trace;
