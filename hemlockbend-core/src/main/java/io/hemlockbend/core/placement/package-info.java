/** Which of a route's services, versions and upstreams a request goes to. */
package io.hemlockbend.core.placement;
