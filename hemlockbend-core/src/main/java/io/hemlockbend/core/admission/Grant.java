package io.hemlockbend.core.admission;

/**
 * A queued request that is admitted.
 *
 * @param ticket its former place in the queue
 * @param permit its permit, to be released once
 */
public record Grant(Ticket ticket, Permit permit) {}
