/**
 * Who is in the mesh: a gossip protocol with failure detection in the manner of SWIM (Das, Gupta,
 * Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
 * 2002). Claims about members merge by incarnation and status, so that every node ends with the
 * same view whatever order messages come in. All times are milliseconds; nothing here throws for
 * what a peer sends.
 */
package io.hemlockbend.core.membership;
