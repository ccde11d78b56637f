/**
 * Measures how costs grow with size, fits a line to each, and extrapolates the cost to the target
 * size.
 */
package io.hemlockbend.testkit.capacity;
