/**
 * Membership of the mesh: a gossip protocol with failure detection in the manner of SWIM (Das,
 * Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
 * Protocol", 2002). Claims about members merge by incarnation and status, so that all nodes
 * converge to the same view in whatever order messages arrive. All times are milliseconds; nothing
 * here throws on peer input.
 */
package io.hemlockbend.core.membership;
