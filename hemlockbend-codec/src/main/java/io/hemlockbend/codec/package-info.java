/**
 * JSON and MessagePack encodings of the core's types. JSON is canonical, so that equal values have
 * equal bytes; MessagePack is compact and used between nodes. Both reject malformed input with
 * {@link io.hemlockbend.codec.CodecException}.
 */
package io.hemlockbend.codec;
