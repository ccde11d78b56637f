package io.hemlockbend.testkit.capacity;

/**
 * One measurement.
 *
 * @param size the size at which it was taken
 * @param value the measured cost, in the probe's unit
 */
public record Sample(double size, double value) {}
