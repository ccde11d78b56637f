package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.nio.ByteBuffer;
import java.util.List;

/** A message between two nodes. */
public sealed interface NodeMessage {
  /**
   * The first message of the side that dialed.
   *
   * @param sender the node that sends it
   * @param known how many nodes it knows, with itself
   */
  record Hello(NodeInfo sender, int known) implements NodeMessage {}

  /** Asks for all nodes that the receiver knows. */
  record AskNodes() implements NodeMessage {}

  /**
   * The nodes that the sender knows.
   *
   * @param known the nodes, with the sender
   */
  record Nodes(List<NodeInfo> known) implements NodeMessage {}

  /**
   * What the sender tells about itself: the answer to a ping, or news.
   *
   * @param pingMillis the time in the ping that it answers; 0 when nobody asked
   * @param report the report
   */
  record Report(long pingMillis, NodeReport report) implements NodeMessage {}

  /**
   * Asks the receiver to run a request on its upstream.
   *
   * @param stream the request's number on this connection
   * @param request the request; without its body when that is offered
   * @param offeredBytes the length of a body that follows in pieces as it is asked for; 0 when the
   *     request is whole
   */
  record Run(long stream, RunRequest request, int offeredBytes) implements NodeMessage {}

  /**
   * Asks for bytes of an offered body.
   *
   * @param stream the request's number on this connection
   * @param untilBytes how many bytes from its beginning may be sent, with those sent before
   */
  record Ask(long stream, int untilBytes) implements NodeMessage {}

  /**
   * The next bytes of an offered body.
   *
   * @param stream the request's number on this connection
   * @param bytes the bytes; not copied
   */
  record Piece(long stream, ByteBuffer bytes) implements NodeMessage {}

  /**
   * Tells how a request ended.
   *
   * @param stream the request's number on this connection
   * @param end how it ended
   * @param load the load of the upstream then
   */
  record Ended(long stream, RunEnd end, UpstreamLoad load) implements NodeMessage {}

  /**
   * The caller left or no longer waits.
   *
   * @param stream the request's number on this connection
   */
  record Cancel(long stream) implements NodeMessage {}

  /**
   * Asks for a report at once; shows the sender that the link works both ways.
   *
   * @param sentMillis the sender's time, given back in the answer
   * @param report what the sender tells about itself, so that the receiver need not ask
   */
  record Ping(long sentMillis, NodeReport report) implements NodeMessage {}

  /**
   * Asks for the configuration and the orders that the receiver has, as far as they are newer.
   *
   * @param configurationVersion the configuration in force at the sender; -1 without one
   * @param ordersVersion the orders known there; -1 without any
   */
  record Fetch(long configurationVersion, long ordersVersion) implements NodeMessage {}

  /**
   * A whole configuration, as the operator wrote it.
   *
   * @param version its version
   * @param packed its bytes, compressed
   */
  record Configuration(long version, byte[] packed) implements NodeMessage {}

  /**
   * The operator's orders.
   *
   * @param orders the orders
   */
  record Orders(OperatorOrders orders) implements NodeMessage {}

  /**
   * Requests that were in flight when upstreams crashed.
   *
   * @param reports the reports; their times are how long they count from now on
   */
  record Crashes(List<Suspicion> reports) implements NodeMessage {}
}
