/** Package of hemlockbend-wire. */
package io.hemlockbend.wire;
