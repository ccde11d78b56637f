package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.proxy.peer.NodeInfo;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import io.hemlockbend.proxy.upstream.LocalUpstream;
import java.util.List;

/** Callbacks from the peer links into the rest of the node; run on the event loop's thread. */
interface MeshOwner {
  /** Returns the current report of this node. */
  NodeReport report();

  /** Returns the load of the upstream beside this node. */
  UpstreamLoad load();

  /** Called with reports on requests in flight when other nodes' upstreams crashed. */
  void crashesReported(List<Suspicion> reports);

  /** Called with a report of another node. */
  void reported(Peer from, NodeReport report);

  /** Returns the upstream beside this node. */
  LocalUpstream upstream();

  /** Called with a node that was not known before. */
  void discovered(NodeInfo node);

  /**
   * Called when a node list was received or no other node has reported more nodes than this one
   * knows.
   */
  void allNodesKnown();

  /** Returns this node's documents that are newer than the versions in a request. */
  List<NodeMessage> documents(NodeMessage.Fetch fetch);

  /** Called with a document of another node, a configuration or orders. */
  void documentReceived(NodeMessage document);
}
