/** Links between nodes, and the path of a request from its caller to an upstream. */
package io.hemlockbend.proxy.mesh;
