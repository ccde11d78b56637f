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
   * Identifies a configuration by version and digest.
   *
   * @param version the version
   * @param digest the digest
   */
  record VersionMark(ConfigurationVersion version, Digest digest) {
    /** The mark of a node that has no configuration in force. */
    public static final VersionMark NONE =
        new VersionMark(ConfigurationVersion.NONE, new Digest("0".repeat(64)));

    /** Returns whether this version is newer than the other's; digests are not compared. */
    public boolean newerThan(VersionMark other) {
      return version.newerThan(other.version);
    }
  }

  /**
   * A version that must receive no traffic. No message releases a brake.
   *
   * @param key the version
   * @param configuration the configuration in force when the evidence was found; a brake applies
   *     until a newer configuration adds the version again
   * @param reason a description of the evidence
   */
  record Brake(VersionKey key, ConfigurationVersion configuration, String reason) {}

  /**
   * Counts of the calls of one route to one version, as the node beside the upstream saw them.
   *
   * @param key the version
   * @param route the route's name
   * @param domain the failure domain of the node that counted
   * @param calls the number of completed calls
   * @param failures the number of those that failed
   * @param slowCalls the number of those that exceeded the latency bound
   * @param totalMillis the sum of the service times of the calls
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
   * Reports a request that was in flight when an upstream crashed.
   *
   * @param request the request; retries count as the same request
   * @param upstreams the upstreams that crashed with it in flight, one entry per crash
   * @param untilMillis when the report expires, milliseconds since the epoch
   */
  record Suspicion(RequestId request, List<UpstreamId> upstreams, long untilMillis) {
    /** Returns the report with its expiry shifted, to convert it to a clock that is ahead. */
    public Suspicion shifted(long millis) {
      return new Suspicion(request, upstreams, untilMillis + millis);
    }
  }

  /**
   * Probes whether a peer is alive, and carries gossip.
   *
   * @param sender the requesting node
   * @param sequence the sequence number of the request; 0 requests no ack
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
   * @param sender the answering node
   * @param sequence the sequence number of the request
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
   * Requests a peer to ping another one on the sender's behalf.
   *
   * @param sender the requesting node
   * @param sequence the sequence number of the request
   * @param target the node to ping
   */
  record PingRequest(NodeId sender, long sequence, NodeId target) implements PeerMessage {}

  /**
   * Announces an accepted configuration.
   *
   * @param sender a node that holds it and answers pulls for it
   * @param mark version and digest of the configuration
   */
  record Announcement(NodeId sender, VersionMark mark) implements PeerMessage {}

  /**
   * Requests the newest configuration.
   *
   * @param sender the requesting node
   * @param held the configuration that the sender holds, or {@link VersionMark#NONE} for a whole
   *     one
   */
  record Pull(NodeId sender, VersionMark held) implements PeerMessage {}

  /**
   * Carries a whole configuration.
   *
   * @param sender the sending node
   * @param mark version and digest of the configuration
   * @param configuration the configuration
   */
  record Body(NodeId sender, VersionMark mark, Configuration configuration)
      implements PeerMessage {}

  /**
   * Carries the changes from one configuration to a later one.
   *
   * @param sender the sending node
   * @param base the configuration that the changes apply to
   * @param mark version and digest of the result
   * @param steps the changes, one list for each version
   */
  record Delta(NodeId sender, VersionMark base, VersionMark mark, List<List<Change>> steps)
      implements PeerMessage {}

  /**
   * Requests the members that the receiver knows.
   *
   * @param sender the requesting node
   * @param self the sender's claim about itself
   */
  record Join(NodeId sender, Member self) implements PeerMessage {}

  /**
   * Answers a join or a reconcile with some or all of the members.
   *
   * @param sender the answering node
   * @param mark the configuration that the sender has in force
   * @param members the sender's claims about them
   */
  record Members(NodeId sender, VersionMark mark, List<Member> members) implements PeerMessage {}

  /**
   * Requests the members of those buckets whose hashes differ from the receiver's.
   *
   * @param sender the requesting node
   * @param bucketHashes one hash over the live members of each bucket
   */
  record Reconcile(NodeId sender, List<Integer> bucketHashes) implements PeerMessage {}

  /**
   * Carries evidence on versions to the rollout controller.
   *
   * @param sender the node that counted
   * @param sequence the sequence number among the sender's reports, to discard duplicates
   * @param evidence the counts since the last report
   */
  record EvidenceReport(NodeId sender, long sequence, List<RouteEvidence> evidence)
      implements PeerMessage {}

  /** Returns the node that sent the message. */
  NodeId sender();
}
