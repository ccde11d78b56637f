package io.hemlockbend.core.admission;

/**
 * A queued request that is refused; it has not run.
 *
 * @param ticket its place in the queue, now free
 * @param reason why it is refused
 */
public record Dropped(Ticket ticket, RefusalReason reason) {}
