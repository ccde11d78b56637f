/**
 * Drives the real membership and distribution of several nodes in one process under virtual time: a
 * seeded queue of messages with delay, loss, duplication, reordering and partitions, an in-memory
 * table, and faults at chosen steps. The queue counts time in microseconds, the core in
 * milliseconds.
 */
package io.hemlockbend.testkit.schedule;
