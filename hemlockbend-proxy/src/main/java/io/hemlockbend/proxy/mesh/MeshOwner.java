package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.proxy.peer.NodeInfo;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.NodeReport;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import io.hemlockbend.proxy.upstream.LocalUpstream;
import java.util.List;

/** What the rest of the node does for the links. */
interface MeshOwner {
  /** Returns what this node tells about itself. */
  NodeReport report();

  /** Returns how loaded the upstream beside this node is. */
  UpstreamLoad load();

  /** Hears of crashes of other nodes' upstreams. */
  void crashes(List<Suspicion> reports);

  /** Hears a report. */
  void reported(Peer from, NodeReport report);

  /** Returns the upstream beside this node. */
  LocalUpstream upstream();

  /** Hears of nodes that it did not know. */
  void discovered(NodeInfo node);

  /** Hears that this node knows as many nodes as another one told. */
  void allNodesKnown();

  /** Returns the documents that this node holds and that are newer than another one's. */
  List<NodeMessage> documents(NodeMessage.Fetch fetch);

  /** Takes in a document of another node. */
  void document(NodeMessage document);
}
