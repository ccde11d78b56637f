package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.distribution.StoreVersion;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.nio.ByteBuffer;
import java.util.List;

/** A message between two nodes. */
public sealed interface NodeMessage {
  /**
   * The first message of the node that opened the connection.
   *
   * @param sender the node that sends it
   * @param knownNodes how many nodes it knows, including itself
   */
  record Hello(NodeInfo sender, int knownNodes) implements NodeMessage {}

  /** Requests all nodes that the receiver knows. */
  record NodesRequest() implements NodeMessage {}

  /**
   * The nodes that the sender knows.
   *
   * @param nodes the nodes, including the sender
   */
  record NodeList(List<NodeInfo> nodes) implements NodeMessage {}

  /**
   * The sender's state, sent in answer to a ping or unsolicited.
   *
   * @param pingMillis the time in the ping that is answered; 0 when unsolicited
   * @param report the report
   */
  record Report(long pingMillis, NodeReport report) implements NodeMessage {}

  /**
   * Asks the receiver to run a request on its upstream.
   *
   * @param stream the request's number on this connection
   * @param request the request; without its body when the body is only offered
   * @param offeredBytes the length of a body that follows in chunks as the receiver grants credit;
   *     0 when the request is complete
   */
  record Run(long stream, RunRequest request, int offeredBytes) implements NodeMessage {}

  /**
   * Grants the sender of an offered body credit to send more of it.
   *
   * @param stream the request's number on this connection
   * @param untilBytes how many bytes may be sent in total, including those sent before
   */
  record BodyCredit(long stream, int untilBytes) implements NodeMessage {}

  /**
   * The next chunk of an offered body.
   *
   * @param stream the request's number on this connection
   * @param bytes the bytes; not copied
   */
  record BodyChunk(long stream, ByteBuffer bytes) implements NodeMessage {}

  /**
   * The outcome of a request.
   *
   * @param stream the request's number on this connection
   * @param end the outcome
   * @param load the load of the upstream at that time
   */
  record Ended(long stream, RunEnd end, UpstreamLoad load) implements NodeMessage {}

  /**
   * Cancels a request whose caller disconnected or no longer waits.
   *
   * @param stream the request's number on this connection
   */
  record Cancel(long stream) implements NodeMessage {}

  /**
   * Requests a report at once; the answer shows that the link works in both directions.
   *
   * @param sentMillis the sender's time, returned in the answer
   * @param report the sender's own report, so that the receiver need not request one
   */
  record Ping(long sentMillis, NodeReport report) implements NodeMessage {}

  /**
   * Tells that a node does not answer the sender, so that the receiver checks its own link to it.
   *
   * @param node the node that does not answer
   */
  record Silence(NodeId node) implements NodeMessage {}

  /**
   * Requests the receiver's configuration and orders if they are newer than the sender's.
   *
   * @param configurationVersion the configuration version in force at the sender; -1 without one
   * @param ordersVersion the version of the orders known there
   * @param carriedOrders the number of orders known there that the restored store lacks
   */
  record Fetch(long configurationVersion, StoreVersion ordersVersion, int carriedOrders)
      implements NodeMessage {}

  /**
   * A complete configuration, as written by the operator.
   *
   * @param version its version
   * @param compressed its compressed bytes
   */
  record Configuration(long version, byte[] compressed) implements NodeMessage {}

  /**
   * The operator's orders.
   *
   * @param read the orders as read from the store
   * @param carried orders from before the store was restored that it lacks
   * @param carriedMillis how long these are still carried
   */
  record Orders(OperatorOrders read, OperatorOrders carried, long carriedMillis)
      implements NodeMessage {}

  /**
   * Requests that were in flight when upstreams crashed.
   *
   * @param reports the reports; their times are the remaining milliseconds until they expire
   */
  record CrashReports(List<Suspicion> reports) implements NodeMessage {}
}
