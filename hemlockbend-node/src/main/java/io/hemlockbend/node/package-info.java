/** Assembles and runs a node: command line, listeners, control loop and graceful shutdown. */
package io.hemlockbend.node;
