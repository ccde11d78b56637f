package io.hemlockbend.testkit.matrix;

import io.hemlockbend.core.api.Priority;
import io.hemlockbend.testkit.matrix.CallerRequest.Kind;
import java.util.HashMap;
import java.util.Map;

/** The callers: send requests at random times, and send again what they may without an answer. */
final class Callers {
  /** How long a caller waits for an answer. */
  static final long PATIENCE_MILLIS = 1_000;

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

  /** Starts to send requests, one after a random pause after the other. */
  void start() {
    double perMilli = mesh.sizes().callsPerSecond() / 1_000;
    nextMillis += -Math.log(1 - mesh.random().nextDouble()) / perMilli;
    if (nextMillis > mesh.sizes().endMillis()) {
      return;
    }
    long delay = Math.max(0, (long) nextMillis - mesh.queue().now());
    mesh.queue()
        .in(
            delay,
            () -> {
              send(draw(), mesh.random().nextInt(mesh.sizes().entries()));
              start();
            });
  }

  /** Sends a request through an entry. */
  void send(CallerRequest request, int entry) {
    Entry to = mesh.front(entry);
    if (!to.alive()) {
      to = mesh.front((entry + 1) % mesh.sizes().entries());
    }
    sends.merge(request.number(), 1, Integer::sum);
    long now = mesh.queue().now();
    int number = ++lastSend;
    Send send =
        new Send(
            number, request, now + PATIENCE_MILLIS, tell -> told(request, number, entry, tell));
    mesh.trace(new TraceEvent.Sent(now, request, number, now + PATIENCE_MILLIS));
    to.receive(send);
  }

  /** Sends a request again through the entry that its first send did not take. */
  void resendElsewhere(CallerRequest request) {
    send(request, 1);
  }

  private CallerRequest draw() {
    double drawn = mesh.random().nextDouble();
    Kind rest = drawn < SAFE_SHARE + KEYED_SHARE ? Kind.KEYED : Kind.UNSAFE;
    Kind kind = drawn < SAFE_SHARE ? Kind.SAFE : rest;
    boolean large = mesh.random().nextDouble() < LARGE_SHARE;
    return new CallerRequest(++requests, kind, large, drawPriority());
  }

  private Priority drawPriority() {
    double drawn = mesh.random().nextDouble();
    Priority rest = drawn < URGENT_SHARE + BULK_SHARE ? Priority.BULK : Priority.NORMAL;
    return drawn < URGENT_SHARE ? Priority.URGENT : rest;
  }

  private void told(CallerRequest request, int send, int entry, Tell tell) {
    mesh.trace(new TraceEvent.Told(mesh.queue().now(), request, send, tell));
    boolean again = !(tell instanceof Tell.Answered) && request.kind() != Kind.UNSAFE;
    int sent = sends.get(request.number());
    if (again && sent < mesh.sizes().maxSends()) {
      int other = (entry + 1) % mesh.sizes().entries();
      mesh.queue().in(RESEND_MILLIS << sent - 1, () -> send(request, other));
    }
  }
}
