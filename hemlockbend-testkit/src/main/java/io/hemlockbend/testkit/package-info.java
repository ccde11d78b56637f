/** Stand-ins for upstreams and the platform, a load generator and a checker of recorded traces. */
package io.hemlockbend.testkit;
