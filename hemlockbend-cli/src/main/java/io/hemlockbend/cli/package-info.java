/** Package of hemlockbend-cli. */
package io.hemlockbend.cli;
