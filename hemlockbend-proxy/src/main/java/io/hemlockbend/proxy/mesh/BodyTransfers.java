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
 * Receives the large bodies that other nodes offer to this one. All connections share one intake
 * because they share the instance's network link. A request starts to run only once its body is
 * complete.
 */
public final class BodyTransfers {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Refusal reason of a request whose body could not be complete in time. */
  private static final String LINK_FULL = "link-full";

  private final EventLoop loop;
  private final IntakeSettings settings;
  private final MeshOwner owner;
  private final DecisionSink sink;
  private final BodyIntake intake;
  private final Map<Long, IncomingBody> incoming = new HashMap<>();
  private long lastNumber;
  private long receivedCount;
  private long receivedBytes;
  private long receiveMillis;

  BodyTransfers(EventLoop loop, IntakeSettings settings, MeshOwner owner, DecisionSink sink) {
    this.loop = loop;
    this.settings = settings;
    this.owner = owner;
    this.sink = sink;
    this.intake = new BodyIntake(settings);
  }

  /**
   * Handles a request whose body is offered separately.
   *
   * @param run the request, without its body
   * @param from the node that offers it
   * @param link the link to that node
   * @param listener called once with the outcome of the request, possibly before this returns
   * @return the body to be received, or null if the request was refused
   */
  IncomingBody offer(
      NodeMessage.Run run, NodeId from, PeerConnection link, Consumer<RunEnd> listener) {
    RunRequest request = run.request();
    String closedReason = owner.upstream().closedReason();
    if (closedReason != null) {
      refuse(request, run.offeredBytes(), closedReason, listener);
      return null;
    }
    boolean late = request.targetMillis() <= 0;
    long usefulMillis = late ? request.remainingMillis() : request.targetMillis();
    double availableMillis = usefulMillis - owner.upstream().serviceMillis(request.route());
    long number = ++lastNumber;
    if (!intake.offer(number, run.offeredBytes(), late, availableMillis, loop.millis())) {
      refuse(request, run.offeredBytes(), LINK_FULL, listener);
      return null;
    }
    IncomingBody body = new IncomingBody(this, number, run, from, link, listener, loop.millis());
    incoming.put(number, body);
    body.setExpiry(
        loop.after(request.remainingMillis(), () -> body.end(new RunEnd.NotRun("deadline"))));
    grantCredits();
    return body;
  }

  /** Adds the current wait and the transfer rate of large bodies to a load. */
  UpstreamLoad withTransferLoad(UpstreamLoad load) {
    return load.withBodyTransfer(
        intake.waitMillis(false), settings.bytesPerSecond() / MILLIS_PER_SECOND);
  }

  /** Returns the number of bodies received completely. */
  public long receivedCount() {
    return receivedCount;
  }

  /** Returns the total size of the bodies received completely. */
  public long receivedBytes() {
    return receivedBytes;
  }

  /** Returns the summed time from offer to last byte of these bodies, in milliseconds. */
  public long receiveMillis() {
    return receiveMillis;
  }

  /** Records received bytes of a body; returns whether it is complete. */
  boolean received(IncomingBody body, int chunkBytes) {
    boolean complete = intake.received(body.number(), chunkBytes, loop.millis());
    if (complete) {
      incoming.remove(body.number());
    }
    grantCredits();
    return complete;
  }

  /** Removes a body whose request ended before the body was complete. */
  void remove(IncomingBody body) {
    incoming.remove(body.number());
    intake.remove(body.number());
    grantCredits();
  }

  /** Runs a request whose body is complete; returns the action that cancels it. */
  Runnable run(IncomingBody body, byte[] content, Consumer<RunEnd> listener) {
    long tookMillis = loop.millis() - body.offeredMillis();
    receivedCount++;
    receivedBytes += content.length;
    receiveMillis += tookMillis;
    sink.emit(
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
            body.request().withBody(content).withElapsed(tookMillis),
            loop::millis,
            listener);
    run.start();
    return run::cancel;
  }

  long nowMillis() {
    return loop.millis();
  }

  private void grantCredits() {
    intake.removeOvertaken(loop.millis()).forEach(this::refuseOvertaken);
    for (BodyIntake.Credit credit : intake.grantCredits(loop.millis())) {
      incoming.get(credit.number()).sendCredit(credit.untilBytes());
    }
  }

  /** Refuses a late request whose body can no longer be complete in time behind others' bodies. */
  private void refuseOvertaken(long number) {
    IncomingBody body = incoming.get(number);
    logRefused(body.request(), body.offeredBytes(), LINK_FULL);
    body.end(new RunEnd.NotRun(LINK_FULL));
  }

  private void refuse(
      RunRequest request, int offeredBytes, String reason, Consumer<RunEnd> listener) {
    logRefused(request, offeredBytes, reason);
    listener.accept(new RunEnd.NotRun(reason));
  }

  private void logRefused(RunRequest request, int offeredBytes, String reason) {
    sink.emit(
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
