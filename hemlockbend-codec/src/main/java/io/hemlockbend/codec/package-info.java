/** Package of hemlockbend-codec. */
package io.hemlockbend.codec;
