/**
 * Drives the real membership and distribution of several nodes in one process under virtual time: a
 * seeded queue of messages with delay, loss, duplication, reordering and cuts, an in-memory table,
 * and faults at chosen steps. Time in the queue is in microseconds, the core's in milliseconds.
 */
package io.hemlockbend.testkit.schedule;
