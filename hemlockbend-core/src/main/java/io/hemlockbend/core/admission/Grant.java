package io.hemlockbend.core.admission;

/**
 * A queued request that may run now.
 *
 * @param ticket its place in the queue, now free
 * @param permit its right to run
 */
public record Grant(Ticket ticket, Permit permit) {}
