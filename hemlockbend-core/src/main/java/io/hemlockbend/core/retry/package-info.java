/**
 * Retries at the entry: after an attempt without a complete answer, the request is sent to another
 * upstream, or the caller is told whether it may have run. Times are milliseconds.
 */
package io.hemlockbend.core.retry;
