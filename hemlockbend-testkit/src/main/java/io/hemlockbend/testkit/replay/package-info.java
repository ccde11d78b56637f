/** Checks recorded traces against stated outcomes, one class per rule. */
package io.hemlockbend.testkit.replay;
