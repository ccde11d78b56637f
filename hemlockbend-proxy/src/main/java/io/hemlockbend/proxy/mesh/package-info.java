/** The node's view of the others and the way of a request from its caller to an upstream. */
package io.hemlockbend.proxy.mesh;
