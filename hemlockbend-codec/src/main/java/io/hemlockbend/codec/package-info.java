/**
 * JSON and MessagePack forms of the core's types. JSON is canonical, so that equal values have
 * equal bytes; MessagePack is compact and goes between nodes. Both refuse malformed input with
 * {@link io.hemlockbend.codec.CodecException}.
 */
package io.hemlockbend.codec;
