/**
 * The fault matrix of the request path: a model in virtual time runs the decisions of the core with
 * every fault at every step of a request and checks invariants on the trace. Times are milliseconds
 * of virtual time.
 */
package io.hemlockbend.testkit.matrix;
