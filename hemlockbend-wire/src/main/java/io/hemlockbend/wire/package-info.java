/**
 * Control messages between nodes over TCP: frames of a length and a MessagePack value. One thread
 * reads each incoming connection and one writes each outgoing one; a connection carries messages in
 * one direction only. Errors are {@link io.hemlockbend.wire.WireException}; a connection that errs
 * is closed and counted, and the node goes on.
 */
package io.hemlockbend.wire;
