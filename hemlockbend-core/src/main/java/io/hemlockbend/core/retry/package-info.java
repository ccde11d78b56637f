/**
 * Decides at the entry what to do after a try that brought no whole answer: try elsewhere, or tell
 * the caller in words that are true whether the request ran. Times are milliseconds.
 */
package io.hemlockbend.core.retry;
