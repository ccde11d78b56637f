/** Package of hemlockbend-platform. */
package io.hemlockbend.platform;
