/**
 * Nodes with simulated upstreams and a simulated platform in one process, over loopback sockets.
 */
package io.hemlockbend.testkit.mesh;
