/**
 * Chooses an upstream for a request: liveness and withdrawal first, then the version split, the own
 * failure domain, and the less loaded of two drawn.
 */
package io.hemlockbend.core.routing;
