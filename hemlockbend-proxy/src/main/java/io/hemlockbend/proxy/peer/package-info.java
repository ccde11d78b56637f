/** Messages between nodes: frames of MessagePack over TCP, many requests on one connection. */
package io.hemlockbend.proxy.peer;
