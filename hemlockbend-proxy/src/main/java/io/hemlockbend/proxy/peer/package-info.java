/** Messages between nodes: MessagePack frames over TCP, many requests on one connection. */
package io.hemlockbend.proxy.peer;
