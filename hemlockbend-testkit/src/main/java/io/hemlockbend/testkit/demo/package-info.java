/** Demonstrates stage, commit, move, take back, withdraw and restore on embedded stand-ins. */
package io.hemlockbend.testkit.demo;
