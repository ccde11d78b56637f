package io.hemlockbend.core.admission;

/**
 * A queued request that is refused without having run.
 *
 * @param ticket its former place in the queue
 * @param reason why it is refused
 */
public record Dropped(Ticket ticket, RefusalReason reason) {}
