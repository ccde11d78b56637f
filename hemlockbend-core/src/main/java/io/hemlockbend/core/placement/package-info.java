/** Selects the service, version and upstream of a route that a request goes to. */
package io.hemlockbend.core.placement;
