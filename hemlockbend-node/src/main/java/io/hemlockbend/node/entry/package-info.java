/** Receives callers' requests, chooses an upstream for each and answers the caller. */
package io.hemlockbend.node.entry;
