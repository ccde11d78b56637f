package io.hemlockbend.core.admission;

/**
 * The place of a request in the queue.
 *
 * @param number identifies it within its controller
 */
public record Ticket(long number) {}
