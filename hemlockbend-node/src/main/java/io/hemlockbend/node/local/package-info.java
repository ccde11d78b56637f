/** Listens for the upstream beside this node: its announcements, which are also its heartbeats. */
package io.hemlockbend.node.local;
