/** Nodes with stand-in upstreams and platform in one process, over loopback sockets. */
package io.hemlockbend.testkit.mesh;
