/** Files of recorded traces. */
package io.hemlockbend.testkit.trace;
