package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.PeerConnection;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A link that another node dialed: its requests are run on the upstream beside this node, and its
 * questions are answered.
 */
final class AcceptedLink implements PeerConnection.Listener {
  /** From which size on the way of a body between two nodes is logged. */
  private static final int LARGE_BODY_BYTES = 64 * 1024;

  private final PeerMesh mesh;
  private final PeerMesh.Owner owner;
  private final Set<PeerConnection> accepted;
  private final DecisionSink sink;

  private final Map<Long, Runnable> runs = new TreeMap<>();
  private NodeId sender;

  /**
   * Makes the listener of a link.
   *
   * @param mesh learns of the nodes that the other one knows
   * @param owner answers for this node
   * @param accepted the links of this kind that are open
   * @param sink takes note of decisions
   */
  AcceptedLink(
      PeerMesh mesh, PeerMesh.Owner owner, Set<PeerConnection> accepted, DecisionSink sink) {
    this.mesh = mesh;
    this.owner = owner;
    this.accepted = accepted;
    this.sink = sink;
  }

  @Override
  public void opened(PeerConnection connection) {
    accepted.add(connection);
  }

  @Override
  public void received(PeerConnection connection, NodeMessage message) {
    switch (message) {
      case NodeMessage.Hello hello -> {
        sender = hello.sender().node();
        mesh.learn(hello.sender());
        hello.known().forEach(mesh::learn);
        owner.greeted();
      }
      case NodeMessage.Ping ping ->
          connection.send(new NodeMessage.Report(ping.sentMillis(), owner.report()));
      case NodeMessage.Run run -> run(connection, run);
      case NodeMessage.Cancel cancel -> {
        Runnable takeBack = runs.remove(cancel.stream());
        if (takeBack != null) {
          takeBack.run();
        }
      }
      case NodeMessage.Fetch fetch -> owner.documents(fetch).forEach(connection::send);
      default -> connection.end(new IllegalStateException("unexpected " + message));
    }
  }

  private void run(PeerConnection connection, NodeMessage.Run run) {
    int bytes = run.request().http().body().length;
    if (bytes >= LARGE_BODY_BYTES) {
      mesh.largeBodies().received(bytes, connection.frameMillis());
      sink.decided(
          "body-received",
          run.request().id(),
          "from",
          sender,
          "bytes",
          bytes,
          "tookMillis",
          connection.frameMillis(),
          "targetMillis",
          run.request().targetMillis());
    }
    boolean[] ended = new boolean[1];
    Runnable takeBack =
        owner.run(
            run.request(),
            end -> {
              ended[0] = true;
              runs.remove(run.stream());
              connection.send(new NodeMessage.Ended(run.stream(), end, owner.load()));
            });
    if (!ended[0]) {
      runs.put(run.stream(), takeBack);
    }
  }

  @Override
  public void closed(PeerConnection connection, Throwable cause) {
    accepted.remove(connection);
    List<Runnable> left = new ArrayList<>(runs.values());
    runs.clear();
    left.forEach(Runnable::run);
  }
}
