import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A zone is evacuated and taken back; its backends are cold then. A heartbeat that was sent before
 * arrives late, after the node has learned from a health probe that its backend is cold, and the next
 * one is as late.
 */
final class ColdBackendCase {
  private static final long WARMUP_MILLIS = 3_000;
  private static final double BOUND = 32 * 1.5 + 5;
  private static final long LATE_MILLIS = 1_200;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(args[0]);
    Record record = new Record(folder.resolve("record.txt"));
    int exit = 2;
    try (Deployment mesh = new Deployment(record, "a", "b", "c")) {
      exit = run(mesh, record, trouble);
      mesh.keepLogs(Path.of("review/target"));
    } catch (RuntimeException | java.io.IOException e) {
      record.say("could not run: " + e);
    }
    record.say(exit == 1 ? "broken" : exit == 0 ? "held" : "not run");
    System.exit(exit);
  }

  private static int run(Deployment mesh, Record record, boolean trouble) throws Exception {
    mesh.configure(
        7, Deployment.service("s"), "shop", Deployment.rule("/get/", "idempotent", "s"));
    int cold = mesh.add("a", "s", "v1", 9);
    int other = mesh.add("b", "s", "v1", 9);
    mesh.add("c", "s", "v1", 9);
    mesh.awaitReady();
    Backend backend = mesh.backends.get(cold);
    ArrayDeque<Long> lastSecond = new ArrayDeque<>();
    int[] most = {0};
    AtomicBoolean broken = new AtomicBoolean();
    backend.onRun =
        (request, ran) -> {
          synchronized (lastSecond) {
            long now = record.millis();
            record.add("runs " + request + " on " + ran.id);
            if (now >= ran.coldUntilMillis) {
              lastSecond.clear();
              return;
            }
            lastSecond.addLast(now);
            while (lastSecond.peekFirst() <= now - 1_000) {
              lastSecond.removeFirst();
            }
            most[0] = Math.max(most[0], lastSecond.size());
            if (lastSecond.size() > BOUND) {
              broken.set(true);
            }
          }
        };
    Consumer first = new Consumer(record, mesh.ip(cold), "shop", "/get/x");
    Consumer second = new Consumer(record, mesh.ip(other), "shop", "/get/x");
    first.start(12, 40);
    second.start(4, 40);
    Thread.sleep(3_000);
    if (backend.runs.get() == 0) {
      record.say("the backend got no request before the evacuation");
      return 2;
    }
    mesh.store.put("op", "evacuate/a", "{}");
    Thread.sleep(6_000);

    mesh.beating(cold, false);
    Thread.sleep(Deployment.HEARTBEAT_MILLIS);
    String before = backend.heartbeat(mesh.sequences.get(cold).incrementAndGet(), "ready");
    long beatMillis = record.millis();
    record.say("heartbeat " + before + " is sent");
    if (!trouble) {
      record.say("it is answered with " + backend.announce("Heartbeat", before));
    }
    synchronized (lastSecond) {
      lastSecond.clear();
      backend.coldUntilMillis = record.millis() + WARMUP_MILLIS;
    }
    record.say("backend " + backend.id + " is cold for " + WARMUP_MILLIS + " ms");
    mesh.store.remove("op", "evacuate/a");
    long nextMillis = beatMillis + Deployment.HEARTBEAT_MILLIS;
    if (trouble) {
      Thread.sleep(beatMillis + LATE_MILLIS - record.millis());
      record.say("the late heartbeat arrives: " + backend.announce("Heartbeat", before));
    }
    Thread.sleep(nextMillis - record.millis());
    String next = backend.heartbeat(mesh.sequences.get(cold).incrementAndGet(), "ready");
    record.say("heartbeat " + next + " is sent");
    if (trouble) {
      Thread.sleep(nextMillis + LATE_MILLIS - record.millis());
    }
    record.say("it arrives: " + backend.announce("Heartbeat", next));
    mesh.beating(cold, true);
    Thread.sleep(WARMUP_MILLIS);
    first.stop();
    second.stop();
    Thread.sleep(300);
    record.say(
        "sent "
            + (first.sent.get() + second.sent.get())
            + ", served "
            + (first.served.get() + second.served.get())
            + "; FAILBACK: at most "
            + most[0]
            + " requests in a second reached the cold backend, allowed are "
            + BOUND);
    return broken.get() ? 1 : 0;
  }
}
