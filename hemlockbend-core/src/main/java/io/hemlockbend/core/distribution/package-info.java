/**
 * Distribution of accepted configurations to every node: a few nodes read the table, announcements
 * spread by gossip, nodes pull what they lack from each other, and the platform is the fallback. A
 * node never reverts to an older version, and applies a configuration atomically. All times are
 * milliseconds; nothing here throws on input of a peer or the platform: what does not verify is
 * rejected with a reason.
 */
package io.hemlockbend.core.distribution;
