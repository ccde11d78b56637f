/** Checks recorded traces against stated outcomes, one class for each rule. */
package io.hemlockbend.testkit.replay;
