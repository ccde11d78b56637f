/**
 * Withdrawal and restore of failure domains: what part of its share a domain may get, and what the
 * domains that remain can bear.
 */
package io.hemlockbend.core.withdrawal;
