/**
 * Routing at the entry: eligibility by liveness, withdrawal and brakes, then the version split, a
 * preference for the entry's failure domain, and the power of two choices.
 */
package io.hemlockbend.core.routing;
