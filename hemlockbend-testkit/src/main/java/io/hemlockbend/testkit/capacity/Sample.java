package io.hemlockbend.testkit.capacity;

/**
 * One measurement.
 *
 * @param size the size that it was taken at
 * @param value what was measured, in the probe's unit
 */
public record Sample(double size, double value) {}
