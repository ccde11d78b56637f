package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An upstream: runs requests, is slowed by more of them than it bears, sheds some and dies of far
 * too many. It bears little in its cold start, and all its slots once that is over.
 */
final class UpstreamModel {

  /** How a run ended. */
  enum End {
    ANSWERED,
    OVERLOADED,
    BROKEN,
    /** Nobody listened: no byte went out. */
    REFUSED
  }

  /** Hears of a run. */
  interface Listener {
    /** The answer began. */
    void began(Run run);

    /** The run is over. */
    void ended(Run run, End end);
  }

  /** One run of a send. */
  static final class Run {
    final Send send;
    final Listener listener;
    final long admittedMillis;

    Run(Send send, Listener listener, long admittedMillis) {
      this.send = send;
      this.listener = listener;
      this.admittedMillis = admittedMillis;
    }
  }

  private static final long NOTICE_MILLIS = 1;
  private static final double SHED_RATIO = 3;

  final UpstreamId id;
  private final Mesh mesh;
  private final int slots;
  private final Set<Run> running = new LinkedHashSet<>();
  private final List<Runnable> frozenWork = new ArrayList<>();
  private long coldSinceMillis;
  private boolean alive = true;
  private boolean frozen;
  private int starts = 1;

  UpstreamModel(UpstreamId id, Mesh mesh, int slots) {
    this.id = id;
    this.mesh = mesh;
    this.slots = slots;
    this.coldSinceMillis = -mesh.sizes().warmUpMillis();
  }

  StartId start() {
    return new StartId("s" + starts);
  }

  boolean alive() {
    return alive;
  }

  /** Returns how many requests it bears at once now. */
  int bears() {
    long age = mesh.queue().now() - coldSinceMillis;
    int cold = mesh.sizes().coldSlots();
    double warmth = Math.min(1, (double) age / mesh.sizes().warmUpMillis());
    return cold + (int) ((slots - cold) * warmth);
  }

  void run(Send send, long admittedMillis, Listener listener) {
    unlessFrozen(() -> begin(new Run(send, listener, admittedMillis)));
  }

  /** Cancels the run of a send; it is noticed only while the process runs. */
  void cancel(Send send) {
    mesh.queue().in(NOTICE_MILLIS, () -> unlessFrozen(() -> running.removeIf(r -> r.send == send)));
  }

  void cancelAll() {
    List<Run> all = List.copyOf(running);
    mesh.queue().in(NOTICE_MILLIS, () -> unlessFrozen(() -> running.removeAll(all)));
  }

  void fallBackCold() {
    coldSinceMillis = mesh.queue().now();
  }

  void freeze(long millis) {
    frozen = true;
    mesh.queue().in(millis, this::thaw);
  }

  /** Kills the process; another one starts a while later, cold. */
  void kill() {
    alive = false;
    frozen = false;
    frozenWork.clear();
    List<Run> broken = List.copyOf(running);
    running.clear();
    for (Run run : broken) {
      mesh.queue().in(NOTICE_MILLIS, () -> run.listener.ended(run, End.BROKEN));
    }
    mesh.queue().in(mesh.sizes().restartMillis(), this::restart);
  }

  private void restart() {
    alive = true;
    starts++;
    coldSinceMillis = mesh.queue().now();
  }

  private void thaw() {
    frozen = false;
    List<Runnable> work = List.copyOf(frozenWork);
    frozenWork.clear();
    work.forEach(this::unlessFrozen);
  }

  private void unlessFrozen(Runnable action) {
    if (frozen) {
      frozenWork.add(action);
    } else {
      action.run();
    }
  }

  private void begin(Run run) {
    if (!alive) {
      mesh.queue().in(NOTICE_MILLIS, () -> run.listener.ended(run, End.REFUSED));
      return;
    }
    int bears = bears();
    if (running.size() + 1 > SHED_RATIO * bears) {
      mesh.queue().in(NOTICE_MILLIS, () -> run.listener.ended(run, End.OVERLOADED));
      return;
    }
    running.add(run);
    mesh.trace(
        new TraceEvent.Ran(
            mesh.queue().now(),
            run.admittedMillis,
            run.send.request,
            run.send.number,
            id,
            running.size(),
            bears));
    long service = serviceMillis(run, bears);
    after(service / 2, run, () -> firstByte(run));
    after(service * 3 / 4, run, () -> mesh.step(Step.ANSWER_MIDDLE, run.send, this));
    after(service, run, () -> end(run));
  }

  private long serviceMillis(Run run, int bears) {
    double load = Math.max(1, (double) running.size() / bears);
    double cold = bears < slots ? mesh.sizes().coldSlowdown() : 1;
    double drawn = mesh.sizes().serviceMillis() * (0.5 + mesh.random().nextDouble());
    return (long) (drawn * load * load * cold) + mesh.lateMillis(run.send);
  }

  private void after(long millis, Run run, Runnable action) {
    int start = starts;
    mesh.queue()
        .in(
            millis,
            () ->
                unlessFrozen(
                    () -> {
                      if (start == starts && running.contains(run)) {
                        action.run();
                      }
                    }));
  }

  private void firstByte(Run run) {
    if (mesh.crashes(run.send)) {
      Set<Integer> with =
          running.stream().map(r -> r.send.request.number()).collect(Collectors.toSet());
      mesh.trace(
          new TraceEvent.Crashed(mesh.queue().now(), run.send.request, run.send.number, with));
      kill();
      return;
    }
    mesh.step(Step.ANSWER_FIRST_BYTE, run.send, this);
    if (running.contains(run) && !frozen) {
      run.listener.began(run);
    }
  }

  private void end(Run run) {
    mesh.step(Step.ANSWER_END, run.send, this);
    if (frozen) {
      frozenWork.add(() -> end(run));
    } else if (running.remove(run)) {
      run.listener.ended(run, End.ANSWERED);
    }
  }
}
