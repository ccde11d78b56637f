/** A stand-in upstream with announcements, cold starts, draining and injected faults. */
package io.hemlockbend.testkit.upstream;
