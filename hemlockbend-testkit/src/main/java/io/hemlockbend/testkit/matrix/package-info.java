/**
 * The fault matrix of the path of a request: drives the core's decisions under virtual time through
 * every fault at every step, and checks the trace. Times are milliseconds of virtual time.
 */
package io.hemlockbend.testkit.matrix;
