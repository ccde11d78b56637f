/**
 * The operators' command line: the administration API as picocli commands.
 *
 * <p>{@link io.hemlockbend.cli.HemlockbendMain} starts it. Commands exit with the codes of {@link
 * io.hemlockbend.cli.ExitCodes}; errors of this package are {@link
 * io.hemlockbend.cli.ClientException}.
 */
package io.hemlockbend.cli;
