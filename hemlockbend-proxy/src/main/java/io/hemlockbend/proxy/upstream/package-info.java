/** The upstream beside the node: its connections, health and running requests. */
package io.hemlockbend.proxy.upstream;
