/**
 * An open-loop load tool: calls are sent when they are due, however slowly answers come, and
 * latency counts from when a call was due, so that a stall shows in every call that it delays (no
 * coordinated omission).
 */
package io.hemlockbend.testkit.load;
