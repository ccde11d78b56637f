/** Configuration of routes, services and caller limits, and rate limits of cold upstreams. */
package io.hemlockbend.core.traffic;
