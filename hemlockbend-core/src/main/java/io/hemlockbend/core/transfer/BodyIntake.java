package io.hemlockbend.core.transfer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Receiver-side admission and flow control of large bodies on an instance's link. Without it,
 * bodies from many entries fill the link at the same time: none is complete in time, and all other
 * traffic to the instance is delayed behind them, including the pings that detect its failure.
 *
 * <p>A body is offered before it is sent. It is refused at once if it cannot be complete in time
 * after those before it. The others are received in the order of their offers, late ones after all
 * others. The bytes in flight are limited to what keeps the link busy.
 */
public final class BodyIntake {
  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Flow-control credit: the sender of a body may send up to the given offset.
   *
   * @param number the body's number
   * @param untilBytes offset up to which the body may be sent, counted from its beginning
   */
  public record Credit(long number, int untilBytes) {}

  private static final class Body {
    private final int length;
    private final boolean late;
    private final double deadlineMillis;
    private int creditBytes;
    private int receivedBytes;
    private long progressMillis;

    Body(int length, boolean late, double deadlineMillis) {
      this.length = length;
      this.late = late;
      this.deadlineMillis = deadlineMillis;
    }

    int missing() {
      return length - receivedBytes;
    }
  }

  private final IntakeSettings settings;
  private final Map<Long, Body> bodies = new LinkedHashMap<>();

  /** Creates an intake without bodies. */
  public BodyIntake(IntakeSettings settings) {
    this.settings = settings;
  }

  /**
   * Accepts or refuses an offered body.
   *
   * @param number the number of the body; unique
   * @param length its length in bytes; greater than 0
   * @param late whether its request is already late
   * @param availableMillis the time within which the body must be received
   * @param nowMillis the time
   * @return whether the body is accepted; false if it would not be complete in time
   */
  public boolean offer(
      long number, int length, boolean late, double availableMillis, long nowMillis) {
    if (waitMillis(late) + millis(length) > availableMillis) {
      return false;
    }
    bodies.put(number, new Body(length, late, nowMillis + availableMillis));
    return true;
  }

  /**
   * Removes late bodies that can no longer be complete in time, since bodies that are not late were
   * put before them. Bodies with credit are not removed.
   *
   * @return the numbers of the removed bodies
   */
  public List<Long> removeOvertaken(long nowMillis) {
    List<Long> overtaken = new ArrayList<>(0);
    double aheadMillis = waitMillis(false);
    for (Map.Entry<Long, Body> entry : bodies.entrySet()) {
      Body body = entry.getValue();
      if (!body.late) {
        continue;
      }
      double completeMillis = nowMillis + aheadMillis + millis(body.length);
      if (body.creditBytes == 0 && completeMillis > body.deadlineMillis) {
        overtaken.add(entry.getKey());
      } else {
        aheadMillis += millis(body.missing());
      }
    }
    overtaken.forEach(bodies::remove);
    return overtaken;
  }

  /** Grants and returns the new credits that fit into the window. */
  public List<Credit> grantCredits(long nowMillis) {
    List<Credit> credits = new ArrayList<>();
    int windowLeft = settings.windowBytes() - bytesInFlight(nowMillis);
    windowLeft = grant(false, windowLeft, nowMillis, credits);
    grant(true, windowLeft, nowMillis, credits);
    return credits;
  }

  /**
   * Records received bytes of a body.
   *
   * @return whether the body is complete, in which case it is removed
   * @throws IllegalArgumentException if the body is unknown or the bytes exceed its credit
   */
  public boolean received(long number, int bytes, long nowMillis) {
    Body body = bodies.get(number);
    if (body == null || body.receivedBytes + bytes > body.creditBytes) {
      throw new IllegalArgumentException(
          bytes + " bytes of body " + number + " are not covered by a credit");
    }
    body.receivedBytes += bytes;
    body.progressMillis = nowMillis;
    if (body.missing() > 0) {
      return false;
    }
    bodies.remove(number);
    return true;
  }

  /** Removes a body whose request has ended; does nothing if it is unknown. */
  public void remove(long number) {
    bodies.remove(number);
  }

  /**
   * Returns the queueing time of a body that is offered now; 0 if the rate of the link is unknown.
   *
   * @param late whether its request is already late
   */
  public double waitMillis(boolean late) {
    long ahead = 0;
    for (Body body : bodies.values()) {
      ahead += late || !body.late ? body.missing() : body.creditBytes - body.receivedBytes;
    }
    return millis(ahead);
  }

  /** Returns the number of bodies that are being received or are queued. */
  public int size() {
    return bodies.size();
  }

  private int grant(boolean late, int windowLeft, long nowMillis, List<Credit> credits) {
    int left = windowLeft;
    for (Map.Entry<Long, Body> entry : bodies.entrySet()) {
      Body body = entry.getValue();
      int wanted =
          Math.min(body.length, body.receivedBytes + settings.bodyWindowBytes()) - body.creditBytes;
      int granted = Math.min(wanted, left);
      boolean sendable =
          granted >= settings.stepBytes() || body.creditBytes + granted == body.length;
      if (body.late == late && granted > 0 && sendable) {
        if (body.creditBytes == body.receivedBytes) {
          body.progressMillis = nowMillis;
        }
        body.creditBytes += granted;
        left -= granted;
        credits.add(new Credit(entry.getKey(), body.creditBytes));
      }
    }
    return left;
  }

  private int bytesInFlight(long nowMillis) {
    int sum = 0;
    for (Body body : bodies.values()) {
      boolean stalled = nowMillis - body.progressMillis > settings.stallMillis();
      sum += stalled ? 0 : body.creditBytes - body.receivedBytes;
    }
    return sum;
  }

  private double millis(long bytes) {
    double rate = settings.bytesPerSecond();
    return rate == 0 ? 0 : bytes * MILLIS_PER_SECOND / rate;
  }
}
