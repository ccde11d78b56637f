/**
 * How an accepted configuration reaches every node and is taken into force: few nodes read the
 * table, announcements spread by gossip, nodes pull what they lack from each other, and the
 * platform is the fallback. A node never goes back to an older version, and applies a configuration
 * whole or not at all. All times are milliseconds; nothing here throws for what a peer or the
 * platform sends: what does not verify is refused with a reason.
 */
package io.hemlockbend.core.distribution;
