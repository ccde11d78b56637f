/** Writes one JSON line for each routing or placement decision, and keeps the latest to explain. */
package io.hemlockbend.node.log;
