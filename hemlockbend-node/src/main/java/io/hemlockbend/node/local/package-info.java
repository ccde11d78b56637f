/** Receives the announcements of the upstream beside this node, which also serve as heartbeats. */
package io.hemlockbend.node.local;
