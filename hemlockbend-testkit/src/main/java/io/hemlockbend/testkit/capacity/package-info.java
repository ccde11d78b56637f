/**
 * Measures how cost grows with size, fits a line to each, and works out the cost at the size to
 * design for.
 */
package io.hemlockbend.testkit.capacity;
