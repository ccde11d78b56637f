/** Nodes with stand-in upstreams and a stand-in platform in one process, over loopback sockets. */
package io.hemlockbend.testkit.mesh;
