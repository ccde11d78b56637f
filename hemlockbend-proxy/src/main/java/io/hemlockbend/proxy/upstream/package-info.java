/** The upstream beside the node: its connections, its health and what it runs. */
package io.hemlockbend.proxy.upstream;
