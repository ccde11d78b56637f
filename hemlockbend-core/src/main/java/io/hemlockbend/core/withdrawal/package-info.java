/**
 * Withdrawal and restore of failure domains: the share of new work that a domain may get, and the
 * distribution of load within the capacity of the remaining domains.
 */
package io.hemlockbend.core.withdrawal;
