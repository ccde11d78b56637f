package io.hemlockbend.testkit.matrix;

import java.util.ArrayList;
import java.util.List;

/**
 * Injects each fault once, when the observed request reaches its step.
 *
 * @param observed the number of the observed request
 * @param cells the planned faults with their steps
 * @param fired the cells whose faults were injected
 */
record FaultPlan(int observed, List<Cell> cells, List<Cell> fired) {

  /** A fault at a step. */
  record Cell(Step step, Fault fault) {}

  private static final long FREEZE_MILLIS = 700;
  private static final long LONG_PAUSE_MILLIS = 2_600;
  private static final long OUTAGE_MILLIS = 900;
  private static final long ANSWER_DELAY_MILLIS = 800;

  static FaultPlan none() {
    return new FaultPlan(-1, List.of(), new ArrayList<>());
  }

  static FaultPlan of(int observed, List<Cell> cells) {
    return new FaultPlan(observed, cells, new ArrayList<>());
  }

  boolean crashes(CallerRequest request) {
    return request.number() == observed && fired(Fault.CRASHING_REQUEST);
  }

  long answerDelayMillis(CallerRequest request) {
    return request.number() == observed && fired(Fault.LATE_ANSWER) ? ANSWER_DELAY_MILLIS : 0;
  }

  void stepReached(Mesh mesh, Step step, Send send, UpstreamModel upstream) {
    if (send.request.number() != observed) {
      return;
    }
    for (Cell cell : cells) {
      if (cell.step() == step && !fired.contains(cell)) {
        fired.add(cell);
        inject(mesh, cell.fault(), send, upstream);
      }
    }
  }

  private boolean fired(Fault fault) {
    return fired.stream().anyMatch(cell -> cell.fault() == fault);
  }

  private void inject(Mesh mesh, Fault fault, Send send, UpstreamModel upstream) {
    NodeModel node =
        mesh.nodes().stream().filter(n -> n.upstream == upstream).findFirst().orElseThrow();
    switch (fault) {
      case KILL_UPSTREAM -> upstream.kill();
      case KILL_NODE -> node.kill();
      case KILL_ENTRY -> mesh.entries().getFirst().kill();
      case FREEZE_UPSTREAM -> upstream.freeze(FREEZE_MILLIS);
      case FREEZE_NODE -> node.process().freeze(FREEZE_MILLIS);
      case PAUSE_NODE_PAST_CLAIM -> node.process().freeze(LONG_PAUSE_MILLIS);
      case SILENT_LINK -> mesh.entries().getFirst().silenceLink(upstream.id);
      case PLATFORM_DOWN -> outage(mesh, FakeTable.Mode.DOWN);
      case WRITE_ANSWER_LOST -> outage(mesh, FakeTable.Mode.ANSWER_LOST);
      case LATE_WRITE -> outage(mesh, FakeTable.Mode.LATE_WRITE);
      case CRASHING_REQUEST, LATE_ANSWER -> {
        // takes effect when the request runs
      }
      case RESEND_ELSEWHERE -> mesh.callers().resendElsewhere(send.request);
      case DRAIN -> node.drain();
      case WITHDRAW -> node.withdraw();
      case COLD_START -> upstream.resetToCold();
      default -> throw new IllegalStateException("unknown fault " + fault);
    }
  }

  private void outage(Mesh mesh, FakeTable.Mode mode) {
    mesh.table().mode(mode);
    mesh.queue().schedule(OUTAGE_MILLIS, () -> mesh.table().mode(FakeTable.Mode.UP));
  }
}
