package io.hemlockbend.core.message;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import java.util.List;

/** A control message between nodes. */
public sealed interface PeerMessage {

  /**
   * A configuration by number and digest.
   *
   * @param version the number
   * @param digest the digest
   */
  record VersionMark(ConfigurationVersion version, Digest digest) {
    /** The mark of a node that has no configuration in force. */
    public static final VersionMark NONE =
        new VersionMark(ConfigurationVersion.NONE, new Digest("0".repeat(64)));

    /** Returns whether this mark's version is newer than the other's. */
    public boolean newerThan(VersionMark other) {
      return version.newerThan(other.version);
    }
  }

  /**
   * A version that must take no traffic; brakes only ever tighten.
   *
   * @param key the version
   * @param configuration the configuration in force when the evidence was found; a brake binds
   *     until a newer configuration adds the version anew
   * @param reason what the evidence was
   */
  record Brake(VersionKey key, ConfigurationVersion configuration, String reason) {}

  /**
   * Counts of the calls of one route to one version, as the node beside the upstream saw them.
   *
   * @param key the version
   * @param route the route's name
   * @param domain the failure domain of the node that counted
   * @param calls the calls that ended
   * @param failures those that failed
   * @param slowCalls those over the latency bound
   * @param totalMillis the sum of their service times
   */
  record RouteEvidence(
      VersionKey key,
      RouteName route,
      FailureDomain domain,
      long calls,
      long failures,
      long slowCalls,
      double totalMillis) {}

  /**
   * A request that was in flight when an upstream crashed.
   *
   * @param request the request; all resends count as the same
   * @param upstreams the upstreams that crashed with it, each once for each of its crashes
   * @param untilMillis until when the report counts, milliseconds since the epoch
   */
  record Suspicion(RequestId request, List<UpstreamId> upstreams, long untilMillis) {
    /** Returns the report as a clock shows it that is ahead by some milliseconds. */
    public Suspicion shifted(long millis) {
      return new Suspicion(request, upstreams, untilMillis + millis);
    }
  }

  /**
   * Asks a peer whether it is alive, and spreads news.
   *
   * @param sender who asks
   * @param sequence numbers the question
   * @param mark the configuration that the sender has in force
   * @param news claims about members
   * @param brakes brakes that the receiver may not know
   * @param suspicions crash reports that the receiver may not know
   */
  record Ping(
      NodeId sender,
      long sequence,
      VersionMark mark,
      List<Member> news,
      List<Brake> brakes,
      List<Suspicion> suspicions)
      implements PeerMessage {}

  /**
   * Answers a ping.
   *
   * @param sender who answers
   * @param sequence the number of the question
   * @param mark the configuration that the sender has in force
   * @param news claims about members
   * @param brakes brakes that the receiver may not know
   * @param suspicions crash reports that the receiver may not know
   */
  record Ack(
      NodeId sender,
      long sequence,
      VersionMark mark,
      List<Member> news,
      List<Brake> brakes,
      List<Suspicion> suspicions)
      implements PeerMessage {}

  /**
   * Asks a peer to ping another on the sender's behalf.
   *
   * @param sender who asks
   * @param sequence numbers the question
   * @param target whom to ping
   */
  record PingRequest(NodeId sender, long sequence, NodeId target) implements PeerMessage {}

  /**
   * Tells that a configuration was accepted.
   *
   * @param sender who holds it and can be asked for it
   * @param mark which configuration
   */
  record Announcement(NodeId sender, VersionMark mark) implements PeerMessage {}

  /**
   * Asks for the newest configuration.
   *
   * @param sender who asks
   * @param held what the sender has in force
   */
  record Pull(NodeId sender, VersionMark held) implements PeerMessage {}

  /**
   * Carries a whole configuration.
   *
   * @param sender who sends it
   * @param mark its number and digest
   * @param configuration the configuration
   */
  record Body(NodeId sender, VersionMark mark, Configuration configuration)
      implements PeerMessage {}

  /**
   * Carries the changes from one configuration to a later one, a list for each version between.
   *
   * @param sender who sends it
   * @param base the configuration that they change
   * @param mark number and digest of the result
   * @param steps the changes, one list for each version
   */
  record Delta(NodeId sender, VersionMark base, VersionMark mark, List<List<Change>> steps)
      implements PeerMessage {}

  /**
   * Asks for all members that the receiver knows.
   *
   * @param sender who asks
   * @param self the sender's claim about itself
   */
  record Join(NodeId sender, Member self) implements PeerMessage {}

  /**
   * Answers a join with all members, or a part of them.
   *
   * @param sender who answers
   * @param mark the configuration that the sender has in force
   * @param members what the sender knows
   */
  record Members(NodeId sender, VersionMark mark, List<Member> members) implements PeerMessage {}

  /**
   * Asks for the members of those buckets whose hashes differ from the receiver's.
   *
   * @param sender who asks
   * @param bucketHashes one hash over the live members of each bucket
   */
  record Reconcile(NodeId sender, List<Integer> bucketHashes) implements PeerMessage {}

  /**
   * Carries evidence on versions to the rollout controller.
   *
   * @param sender who counted
   * @param sequence numbers the sender's reports, so that a repeat counts once
   * @param evidence the counts since the last report
   */
  record EvidenceReport(NodeId sender, long sequence, List<RouteEvidence> evidence)
      implements PeerMessage {}

  /** Returns who sent the message. */
  NodeId sender();
}
