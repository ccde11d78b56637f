package io.hemlockbend.core.transfer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which large bodies come in over an instance's link, and when. Without it, bodies from
 * many entries fill the link at the same time: none is whole in time, and all other traffic to the
 * instance waits behind them, down to the pings that show it is there.
 *
 * <p>A body is offered before it is sent. One that cannot be whole in time behind those before it
 * is refused at once. The others come in in the order of their offers, those that are late already
 * behind all others; no more bytes are on their way than keep the link busy.
 */
public final class BodyIntake {
  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Bytes of a body that its sender may now send.
   *
   * @param number the body's number
   * @param untilBytes how many bytes from its beginning may be sent, with those sent before
   */
  public record Ask(long number, int untilBytes) {}

  private static final class Body {
    private final int length;
    private final boolean late;
    private final double neededMillis;
    private int asked;
    private int here;
    private long movedMillis;

    Body(int length, boolean late, double neededMillis) {
      this.length = length;
      this.late = late;
      this.neededMillis = neededMillis;
    }

    int missing() {
      return length - here;
    }
  }

  private final IntakeSettings settings;
  private final Map<Long, Body> bodies = new LinkedHashMap<>();

  /** Makes an intake without bodies. */
  public BodyIntake(IntakeSettings settings) {
    this.settings = settings;
  }

  /**
   * Takes in an offer.
   *
   * @param number the body's number, used once
   * @param length its length in bytes; more than 0
   * @param late whether its request is late already
   * @param availableMillis how long the body may take until it is here
   * @param nowMillis the time
   * @return whether the body will come in; false when it would not be whole in time
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
   * Takes out the late bodies that cannot be whole in time any more, as others that are not late
   * have come before them; no byte of them was asked for.
   *
   * @return their numbers
   */
  public List<Long> overtaken(long nowMillis) {
    List<Long> overtaken = new ArrayList<>(0);
    double aheadMillis = waitMillis(false);
    for (Map.Entry<Long, Body> entry : bodies.entrySet()) {
      Body body = entry.getValue();
      if (!body.late) {
        continue;
      }
      double wholeMillis = nowMillis + aheadMillis + millis(body.length);
      if (body.asked == 0 && wholeMillis > body.neededMillis) {
        overtaken.add(entry.getKey());
      } else {
        aheadMillis += millis(body.missing());
      }
    }
    overtaken.forEach(bodies::remove);
    return overtaken;
  }

  /** Returns which bytes may now be sent, beyond those asked for before. */
  public List<Ask> asks(long nowMillis) {
    List<Ask> asks = new ArrayList<>();
    int room = settings.windowBytes() - onTheWay(nowMillis);
    room = ask(false, room, nowMillis, asks);
    ask(true, room, nowMillis, asks);
    return asks;
  }

  /**
   * Takes in bytes of a body.
   *
   * @return whether the body is whole; it is forgotten then
   * @throws IllegalArgumentException when the body is not known or the bytes were not asked for
   */
  public boolean arrived(long number, int bytes, long nowMillis) {
    Body body = bodies.get(number);
    if (body == null || body.here + bytes > body.asked) {
      throw new IllegalArgumentException(
          bytes + " bytes of body " + number + " were not asked for");
    }
    body.here += bytes;
    body.movedMillis = nowMillis;
    if (body.missing() > 0) {
      return false;
    }
    bodies.remove(number);
    return true;
  }

  /** Forgets a body whose request is over. */
  public void remove(long number) {
    bodies.remove(number);
  }

  /**
   * Returns how long a body that is offered now would wait until it may be sent; 0 when the rate of
   * the link is not known.
   *
   * @param late whether its request is late already
   */
  public double waitMillis(boolean late) {
    long ahead = 0;
    for (Body body : bodies.values()) {
      ahead += late || !body.late ? body.missing() : body.asked - body.here;
    }
    return millis(ahead);
  }

  /** Returns how many bodies come in or wait. */
  public int size() {
    return bodies.size();
  }

  private int ask(boolean late, int room, long nowMillis, List<Ask> asks) {
    int left = room;
    for (Map.Entry<Long, Body> entry : bodies.entrySet()) {
      Body body = entry.getValue();
      int wanted = Math.min(body.length, body.here + settings.bodyWindowBytes()) - body.asked;
      int most = Math.min(wanted, left);
      boolean worth = most >= settings.stepBytes() || body.asked + most == body.length;
      if (body.late == late && most > 0 && worth) {
        if (body.asked == body.here) {
          body.movedMillis = nowMillis;
        }
        body.asked += most;
        left -= most;
        asks.add(new Ask(entry.getKey(), body.asked));
      }
    }
    return left;
  }

  private int onTheWay(long nowMillis) {
    int sum = 0;
    for (Body body : bodies.values()) {
      boolean stalled = nowMillis - body.movedMillis > settings.stallMillis();
      sum += stalled ? 0 : body.asked - body.here;
    }
    return sum;
  }

  private double millis(long bytes) {
    double rate = settings.bytesPerSecond();
    return rate == 0 ? 0 : bytes * MILLIS_PER_SECOND / rate;
  }
}
