/**
 * An open-loop load generator: calls are sent when they are due, independent of earlier answers,
 * and latency is measured from the time when a call was due, so that a stall shows in every call
 * that it delays (no coordinated omission).
 */
package io.hemlockbend.testkit.load;
