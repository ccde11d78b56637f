package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Models an upstream. Above its capacity the service time grows with the square of the load, and
 * above {@code SHED_RATIO} times its capacity it sheds requests. The capacity grows linearly during
 * the warm-up, from the cold slots to all slots.
 */
final class UpstreamModel {

  /** How a run ended. */
  enum End {
    ANSWERED,
    OVERLOADED,
    BROKEN,
    /** The process was down and the connection refused; no byte was sent. */
    REFUSED
  }

  /** Receives the events of a run. */
  interface Listener {
    /** The first byte of the answer was sent. */
    void answerStarted(Run run);

    /** The run ended; a cancelled run does not call this. */
    void runEnded(Run run, End end);
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

  private static final long NOTIFY_MILLIS = 1;
  private static final double SHED_RATIO = 3;

  final UpstreamId id;
  private final Mesh mesh;
  private final int slots;
  private final Set<Run> running = new LinkedHashSet<>();
  private final List<Runnable> deferred = new ArrayList<>();
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

  /** Returns the number of concurrent requests that it can serve at present. */
  int capacity() {
    long age = mesh.queue().now() - coldSinceMillis;
    int cold = mesh.sizes().coldSlots();
    double warmth = Math.min(1, (double) age / mesh.sizes().warmUpMillis());
    return cold + (int) ((slots - cold) * warmth);
  }

  void run(Send send, long admittedMillis, Listener listener) {
    runOrDefer(() -> begin(new Run(send, listener, admittedMillis)));
  }

  /** Cancels the run of a send; takes effect only when the process is not frozen. */
  void cancel(Send send) {
    mesh.queue()
        .schedule(NOTIFY_MILLIS, () -> runOrDefer(() -> running.removeIf(r -> r.send == send)));
  }

  void cancelAll() {
    List<Run> all = List.copyOf(running);
    mesh.queue().schedule(NOTIFY_MILLIS, () -> runOrDefer(() -> running.removeAll(all)));
  }

  void resetToCold() {
    coldSinceMillis = mesh.queue().now();
  }

  void freeze(long millis) {
    frozen = true;
    mesh.queue().schedule(millis, this::resume);
  }

  /** Kills the process; a new one starts cold after the restart time. */
  void kill() {
    alive = false;
    frozen = false;
    deferred.clear();
    List<Run> broken = List.copyOf(running);
    running.clear();
    for (Run run : broken) {
      mesh.queue().schedule(NOTIFY_MILLIS, () -> run.listener.runEnded(run, End.BROKEN));
    }
    mesh.queue().schedule(mesh.sizes().restartMillis(), this::restart);
  }

  private void restart() {
    alive = true;
    starts++;
    coldSinceMillis = mesh.queue().now();
  }

  private void resume() {
    frozen = false;
    List<Runnable> actions = List.copyOf(deferred);
    deferred.clear();
    actions.forEach(this::runOrDefer);
  }

  private void runOrDefer(Runnable action) {
    if (frozen) {
      deferred.add(action);
    } else {
      action.run();
    }
  }

  private void begin(Run run) {
    if (!alive) {
      mesh.queue().schedule(NOTIFY_MILLIS, () -> run.listener.runEnded(run, End.REFUSED));
      return;
    }
    int capacity = capacity();
    if (running.size() + 1 > SHED_RATIO * capacity) {
      mesh.queue().schedule(NOTIFY_MILLIS, () -> run.listener.runEnded(run, End.OVERLOADED));
      return;
    }
    running.add(run);
    mesh.trace(
        new TraceEvent.Started(
            mesh.queue().now(),
            run.admittedMillis,
            run.send.request,
            run.send.number,
            id,
            running.size(),
            capacity));
    long service = serviceMillis(run, capacity);
    afterIfRunning(service / 2, run, () -> firstByte(run));
    afterIfRunning(
        service * 3 / 4, run, () -> mesh.stepReached(Step.ANSWER_MIDDLE, run.send, this));
    afterIfRunning(service, run, () -> end(run));
  }

  private long serviceMillis(Run run, int capacity) {
    double load = Math.max(1, (double) running.size() / capacity);
    double cold = capacity < slots ? mesh.sizes().coldSlowdown() : 1;
    double drawn = mesh.sizes().serviceMillis() * (0.5 + mesh.random().nextDouble());
    return (long) (drawn * load * load * cold) + mesh.answerDelayMillis(run.send);
  }

  private void afterIfRunning(long millis, Run run, Runnable action) {
    int start = starts;
    mesh.queue()
        .schedule(
            millis,
            () ->
                runOrDefer(
                    () -> {
                      if (start == starts && running.contains(run)) {
                        action.run();
                      }
                    }));
  }

  private void firstByte(Run run) {
    if (mesh.crashes(run.send)) {
      Set<Integer> inFlight =
          running.stream().map(r -> r.send.request.number()).collect(Collectors.toSet());
      mesh.trace(
          new TraceEvent.Crashed(mesh.queue().now(), run.send.request, run.send.number, inFlight));
      kill();
      return;
    }
    mesh.stepReached(Step.ANSWER_FIRST_BYTE, run.send, this);
    if (running.contains(run) && !frozen) {
      run.listener.answerStarted(run);
    }
  }

  private void end(Run run) {
    mesh.stepReached(Step.ANSWER_END, run.send, this);
    if (frozen) {
      deferred.add(() -> end(run));
    } else if (running.remove(run)) {
      run.listener.runEnded(run, End.ANSWERED);
    }
  }
}
