package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.PeerConnection;
import io.hemlockbend.proxy.peer.RunEnd;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A link that another node dialed: its requests are run on the upstream beside this node, and its
 * questions are answered.
 */
final class AcceptedLink implements PeerConnection.Listener {
  private final PeerMesh mesh;
  private final MeshOwner owner;
  private final Set<PeerConnection> accepted;

  private final Map<Long, Runnable> runs = new TreeMap<>();
  private final Map<Long, IncomingBody> bodies = new HashMap<>();
  private NodeId sender;

  /**
   * Makes the listener of a link.
   *
   * @param mesh learns of the nodes that the other one knows
   * @param owner answers for this node
   * @param accepted the links of this kind that are open
   */
  AcceptedLink(PeerMesh mesh, MeshOwner owner, Set<PeerConnection> accepted) {
    this.mesh = mesh;
    this.owner = owner;
    this.accepted = accepted;
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
        mesh.told(hello.known());
      }
      case NodeMessage.Ping ping -> {
        connection.send(new NodeMessage.Report(ping.sentMillis(), owner.report()));
        mesh.pingedBy(ping.report());
      }
      case NodeMessage.Run run -> run(connection, run);
      case NodeMessage.Piece piece -> piece(connection, piece);
      case NodeMessage.Cancel cancel -> {
        Runnable takeBack = runs.remove(cancel.stream());
        if (takeBack != null) {
          takeBack.run();
        }
      }
      case NodeMessage.AskNodes ask -> connection.send(new NodeMessage.Nodes(mesh.known()));
      case NodeMessage.Fetch fetch -> owner.documents(fetch).forEach(connection::send);
      default -> connection.end(new IllegalStateException("unexpected " + message));
    }
  }

  private void run(PeerConnection connection, NodeMessage.Run run) {
    boolean[] ended = new boolean[1];
    Consumer<RunEnd> listener =
        end -> {
          ended[0] = true;
          runs.remove(run.stream());
          bodies.remove(run.stream());
          connection.send(new NodeMessage.Ended(run.stream(), end, owner.load()));
        };
    Runnable takeBack =
        run.offeredBytes() > 0
            ? offer(connection, run, listener)
            : owner.upstream().run(run.request(), listener);
    if (!ended[0]) {
      runs.put(run.stream(), takeBack);
    }
  }

  private Runnable offer(
      PeerConnection connection, NodeMessage.Run run, Consumer<RunEnd> listener) {
    IncomingBody body = mesh.bodies().offer(run, sender, connection, listener);
    if (body == null) {
      return () -> {};
    }
    bodies.put(run.stream(), body);
    return body::cancel;
  }

  /** Takes in bytes of a body; those of a request that is over were under way when it ended. */
  private void piece(PeerConnection connection, NodeMessage.Piece piece) {
    IncomingBody body = bodies.get(piece.stream());
    if (body == null) {
      return;
    }
    try {
      body.piece(piece.bytes());
    } catch (IllegalArgumentException e) {
      connection.end(e);
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
