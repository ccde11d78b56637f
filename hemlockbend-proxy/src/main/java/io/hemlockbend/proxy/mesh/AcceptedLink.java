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
 * Server side of a link that another node dialed: runs that node's requests on the upstream beside
 * this node and answers its pings, node list requests and document fetches.
 */
final class AcceptedLink implements PeerConnection.Listener {
  private final PeerMesh mesh;
  private final MeshOwner owner;
  private final Set<PeerConnection> accepted;

  private final Map<Long, Runnable> cancellations = new TreeMap<>();
  private final Map<Long, IncomingBody> bodies = new HashMap<>();
  private NodeId sender;

  /**
   * Creates the listener of a link.
   *
   * @param mesh receives the node information that the peer sends
   * @param owner supplies this node's report, documents and upstream
   * @param accepted all open accepted links; this listener adds and removes its own
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
        mesh.addOrUpdate(hello.sender());
        mesh.nodeCountReported(hello.knownNodes());
      }
      case NodeMessage.Ping ping -> {
        connection.send(new NodeMessage.Report(ping.sentMillis(), owner.report()));
        mesh.pingReceived(ping.report());
      }
      case NodeMessage.Silence silence -> mesh.silenceReported(silence.node());
      case NodeMessage.Run run -> run(connection, run);
      case NodeMessage.BodyChunk chunk -> appendChunk(connection, chunk);
      case NodeMessage.Cancel cancel -> {
        Runnable cancelRun = cancellations.remove(cancel.stream());
        if (cancelRun != null) {
          cancelRun.run();
        }
      }
      case NodeMessage.NodesRequest ignored ->
          connection.send(new NodeMessage.NodeList(mesh.knownNodes()));
      case NodeMessage.Fetch fetch -> owner.documents(fetch).forEach(connection::send);
      default -> connection.end(new IllegalStateException("unexpected message: " + message));
    }
  }

  private void run(PeerConnection connection, NodeMessage.Run run) {
    boolean[] ended = new boolean[1];
    Consumer<RunEnd> listener =
        end -> {
          ended[0] = true;
          cancellations.remove(run.stream());
          bodies.remove(run.stream());
          connection.send(new NodeMessage.Ended(run.stream(), end, owner.load()));
        };
    Runnable cancelRun =
        run.offeredBytes() > 0
            ? offer(connection, run, listener)
            : owner.upstream().run(run.request(), listener);
    if (!ended[0]) {
      cancellations.put(run.stream(), cancelRun);
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

  /** Appends a chunk to its body; ignores it if the request has already ended. */
  private void appendChunk(PeerConnection connection, NodeMessage.BodyChunk chunk) {
    IncomingBody body = bodies.get(chunk.stream());
    if (body == null) {
      return;
    }
    try {
      body.append(chunk.bytes());
    } catch (IllegalArgumentException e) {
      connection.end(e);
    }
  }

  @Override
  public void closed(PeerConnection connection, Throwable cause) {
    accepted.remove(connection);
    List<Runnable> pending = new ArrayList<>(cancellations.values());
    cancellations.clear();
    pending.forEach(Runnable::run);
  }
}
