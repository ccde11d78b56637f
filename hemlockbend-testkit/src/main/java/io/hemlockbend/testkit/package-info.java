/** Package of hemlockbend-testkit. */
package io.hemlockbend.testkit;
