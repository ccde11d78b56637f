package io.hemlockbend.proxy.mesh;

import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.transfer.BodyIntake;
import io.hemlockbend.core.transfer.IntakeSettings;
import io.hemlockbend.proxy.DecisionSink;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.peer.NodeMessage;
import io.hemlockbend.proxy.peer.PeerConnection;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import io.hemlockbend.proxy.peer.UpstreamLoad;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The large bodies that other nodes offer to this one. All links share one intake, as they share
 * the instance's link. A request whose body is whole is run; until then it has not run.
 */
public final class BodyTransfers {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Why a request is refused whose body could not be whole in time. */
  private static final String LINK_FULL = "link-full";

  private final EventLoop loop;
  private final IntakeSettings settings;
  private final MeshOwner owner;
  private final DecisionSink sink;
  private final BodyIntake intake;
  private final Map<Long, IncomingBody> coming = new HashMap<>();
  private long lastNumber;
  private long count;
  private long bytes;
  private long millis;

  BodyTransfers(EventLoop loop, IntakeSettings settings, MeshOwner owner, DecisionSink sink) {
    this.loop = loop;
    this.settings = settings;
    this.owner = owner;
    this.sink = sink;
    this.intake = new BodyIntake(settings);
  }

  /**
   * Takes in a request whose body is offered.
   *
   * @param run the request
   * @param from the node that offers it
   * @param link the link to that node
   * @param listener hears once how the request ended, maybe before this returns
   * @return what comes in, or null when the request is over already
   */
  IncomingBody offer(
      NodeMessage.Run run, NodeId from, PeerConnection link, Consumer<RunEnd> listener) {
    RunRequest request = run.request();
    String closed = owner.upstream().closedReason();
    if (closed != null) {
      refuse(request, run.offeredBytes(), closed, listener);
      return null;
    }
    boolean late = request.targetMillis() <= 0;
    long ofUseMillis = late ? request.remainingMillis() : request.targetMillis();
    double availableMillis = ofUseMillis - owner.upstream().serviceMillis(request.route());
    long number = ++lastNumber;
    if (!intake.offer(number, run.offeredBytes(), late, availableMillis, loop.millis())) {
      refuse(request, run.offeredBytes(), LINK_FULL, listener);
      return null;
    }
    IncomingBody body = new IncomingBody(this, number, run, from, link, listener, loop.millis());
    coming.put(number, body);
    body.expires(
        loop.after(request.remainingMillis(), () -> body.end(new RunEnd.NotRun("deadline"))));
    ask();
    return body;
  }

  /** Returns a load with what is known of the way of large bodies to this node. */
  UpstreamLoad told(UpstreamLoad load) {
    return load.withBodies(intake.waitMillis(false), settings.bytesPerSecond() / MILLIS_PER_SECOND);
  }

  /** Returns how many bodies came whole. */
  public long count() {
    return count;
  }

  /** Returns how many bytes they had. */
  public long bytes() {
    return bytes;
  }

  /** Returns how long they took from their offer to their last byte, in milliseconds. */
  public long millis() {
    return millis;
  }

  /** Takes in bytes of a body; returns whether it is whole. */
  boolean arrived(IncomingBody body, int pieceBytes) {
    boolean whole = intake.received(body.number(), pieceBytes, loop.millis());
    if (whole) {
      coming.remove(body.number());
    }
    ask();
    return whole;
  }

  /** Forgets a body whose request is over before it was whole. */
  void remove(IncomingBody body) {
    coming.remove(body.number());
    intake.remove(body.number());
    ask();
  }

  /** Runs a request whose body is whole. */
  Runnable run(IncomingBody body, byte[] content, Consumer<RunEnd> listener) {
    long tookMillis = loop.millis() - body.offeredMillis();
    count++;
    bytes += content.length;
    millis += tookMillis;
    sink.decided(
        "body-received",
        body.request().id(),
        "from",
        body.from(),
        "bytes",
        content.length,
        "tookMillis",
        tookMillis,
        "waitedMillis",
        body.waitedMillis(),
        "targetMillis",
        body.request().targetMillis());
    WholeBodyRun run =
        new WholeBodyRun(
            owner.upstream()::run,
            body.request().withBody(content).after(tookMillis),
            loop::millis,
            listener);
    run.start();
    return run::takeBack;
  }

  long nowMillis() {
    return loop.millis();
  }

  private void ask() {
    intake.removeOvertaken(loop.millis()).forEach(this::overtaken);
    for (BodyIntake.Credit ask : intake.grantCredits(loop.millis())) {
      coming.get(ask.number()).ask(ask.untilBytes());
    }
  }

  /** Ends a request that waited as late: others that are in time took its turn. */
  private void overtaken(long number) {
    IncomingBody body = coming.get(number);
    noteRefused(body.request(), body.offeredBytes(), LINK_FULL);
    body.end(new RunEnd.NotRun(LINK_FULL));
  }

  private void refuse(
      RunRequest request, int offeredBytes, String reason, Consumer<RunEnd> listener) {
    noteRefused(request, offeredBytes, reason);
    listener.accept(new RunEnd.NotRun(reason));
  }

  private void noteRefused(RunRequest request, int offeredBytes, String reason) {
    sink.decided(
        "not-run",
        request.id(),
        "upstream",
        request.upstream(),
        "why",
        reason,
        "bytes",
        offeredBytes,
        "bodies",
        intake.size(),
        "bodyWaitMillis",
        (long) intake.waitMillis(false),
        "remainingMillis",
        request.remainingMillis(),
        "targetMillis",
        request.targetMillis());
  }
}
