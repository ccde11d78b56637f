package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.testkit.matrix.CallerRequest.Kind;
import java.util.HashMap;
import java.util.Map;

/** Models the callers: Poisson arrivals, and repeated sends of idempotent or keyed requests. */
final class Callers {
  /** How long a caller waits for an answer. */
  static final long CALL_TIMEOUT_MILLIS = 1_000;

  private static final long RESEND_MILLIS = 150;
  private static final double SAFE_SHARE = 0.6;
  private static final double KEYED_SHARE = 0.3;
  private static final double LARGE_SHARE = 0.1;
  private static final double URGENT_SHARE = 0.1;
  private static final double BULK_SHARE = 0.2;

  private final Mesh mesh;
  private final Map<Integer, Integer> sends = new HashMap<>();
  private double nextMillis;
  private int requests;
  private int lastSend;

  Callers(Mesh mesh) {
    this.mesh = mesh;
  }

  /** Schedules the next request, after an exponentially distributed delay. */
  void start() {
    double perMilli = mesh.sizes().callsPerSecond() / 1_000;
    nextMillis += -Math.log(1 - mesh.random().nextDouble()) / perMilli;
    if (nextMillis > mesh.sizes().endMillis()) {
      return;
    }
    long delay = Math.max(0, (long) nextMillis - mesh.queue().now());
    mesh.queue()
        .schedule(
            delay,
            () -> {
              send(draw(), mesh.random().nextInt(mesh.sizes().entries()));
              start();
            });
  }

  /** Sends a request to an entry, or to the next one if that process is down. */
  void send(CallerRequest request, int entry) {
    Entry target = mesh.callerEntry(entry);
    if (!target.alive()) {
      target = mesh.callerEntry((entry + 1) % mesh.sizes().entries());
    }
    sends.merge(request.number(), 1, Integer::sum);
    long now = mesh.queue().now();
    int number = ++lastSend;
    Send send =
        new Send(
            number,
            request,
            now + CALL_TIMEOUT_MILLIS,
            outcome -> onCompleted(request, number, entry, outcome));
    mesh.trace(new TraceEvent.Sent(now, request, number, now + CALL_TIMEOUT_MILLIS));
    target.receive(send);
  }

  /** Sends a request a second time, to entry 1; the observed request goes to entry 0 first. */
  void resendElsewhere(CallerRequest request) {
    send(request, 1);
  }

  private CallerRequest draw() {
    double drawn = mesh.random().nextDouble();
    Kind notSafe = drawn < SAFE_SHARE + KEYED_SHARE ? Kind.KEYED : Kind.UNSAFE;
    Kind kind = drawn < SAFE_SHARE ? Kind.SAFE : notSafe;
    boolean large = mesh.random().nextDouble() < LARGE_SHARE;
    return new CallerRequest(++requests, kind, large, drawPriority());
  }

  private Priority drawPriority() {
    double drawn = mesh.random().nextDouble();
    Priority notUrgent = drawn < URGENT_SHARE + BULK_SHARE ? Priority.BULK : Priority.NORMAL;
    return drawn < URGENT_SHARE ? Priority.URGENT : notUrgent;
  }

  private void onCompleted(CallerRequest request, int send, int entry, SendOutcome outcome) {
    mesh.trace(new TraceEvent.Completed(mesh.queue().now(), request, send, outcome));
    boolean retry = !(outcome instanceof SendOutcome.Answered) && request.kind() != Kind.UNSAFE;
    int sendCount = sends.get(request.number());
    if (retry && sendCount < mesh.sizes().maxSends()) {
      int other = (entry + 1) % mesh.sizes().entries();
      mesh.queue().schedule(RESEND_MILLIS << sendCount - 1, () -> send(request, other));
    }
  }
}
