/**
 * Collects evidence on versions, brakes bad ones, and drives moves while this node holds the lease.
 */
package io.hemlockbend.node.rollout;
