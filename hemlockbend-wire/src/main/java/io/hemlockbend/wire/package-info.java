/**
 * Control messages between nodes over TCP: length-prefixed frames of MessagePack. One thread reads
 * each incoming connection and one writes each outgoing one; a connection carries messages in one
 * direction only. Errors are {@link io.hemlockbend.wire.WireException}; a connection that fails is
 * closed and counted, and the node continues to run.
 */
package io.hemlockbend.wire;
