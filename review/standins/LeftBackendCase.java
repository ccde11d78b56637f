import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend leaves with Deregister, its node acknowledges that and is killed. While the node starts
 * again, the store rejects its calls. A heartbeat from before the backend left arrives late.
 */
final class LeftBackendCase {
  private static final long DRAIN_MILLIS = 2_000;
  private static final long MAX_STORE_REJECTS_MILLIS = 9_000;

  /** How long the store still rejects calls once the node listens again. */
  private static final long REJECTS_AFTER_START_MILLIS = 1_000;

  private static final long HEARTBEAT_LATE_MILLIS = 3_500;
  private static final long MEASURED_MILLIS = 3_000;

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
    int left = mesh.add("a", "s", "v1", 9);
    int other = mesh.add("b", "s", "v1", 9);
    mesh.add("c", "s", "v1", 9);
    mesh.awaitReady();
    Backend leaver = mesh.backends.get(left);
    Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    long[] boundMillis = {Long.MAX_VALUE};
    AtomicInteger broken = new AtomicInteger();
    leaver.onRun =
        (request, backend) -> {
          long now = record.millis();
          Long sent = sentMillis.get(request);
          if (sent != null && sent >= boundMillis[0]) {
            broken.incrementAndGet();
            record.add("BROKEN: " + request + " sent at " + sent + " runs on " + backend.id);
          } else {
            record.add("runs " + request + " on " + backend.id);
          }
        };
    Consumer first = new Consumer(record, mesh.ip(left), "shop", "/get/x");
    Consumer second = new Consumer(record, mesh.ip(other), "shop", "/get/x");
    first.onSend = id -> sentMillis.put(id, record.millis());
    second.onSend = first.onSend;
    first.start(4, 40);
    second.start(4, 40);
    Thread.sleep(3_000);
    if (leaver.runs.get() == 0) {
      record.say("the backend got no request before it left");
      return 2;
    }

    mesh.beating(left, false);
    Thread.sleep(50);
    String late = leaver.heartbeat(mesh.sequences.get(left).incrementAndGet(), "ready");
    long lateSentMillis = record.millis();
    record.say("heartbeat " + late + " is sent; it arrives late");
    leaver.leaving = true;
    int status = leaver.announce("Deregister", "{\"born\":" + leaver.born + "}");
    long acknowledgedMillis = record.millis();
    record.say("Deregister of " + leaver.id + " answered with " + status);
    if (status != 200) {
      return 2;
    }
    // drain-ms after the acknowledgement, and contact-ms after the last disturbance of n1.
    boundMillis[0] = acknowledgedMillis + DRAIN_MILLIS;
    if (trouble) {
      Thread.sleep(300);
      mesh.store.busy(left, true);
      long rejectsFrom = record.millis();
      mesh.nodes.get(left).kill();
      Thread.sleep(500);
      mesh.nodes.get(left).start();
      while (!mesh.nodes.get(left).listens()) {
        Thread.sleep(20);
      }
      Thread.sleep(REJECTS_AFTER_START_MILLIS);
      mesh.store.busy(left, false);
      if (record.millis() - rejectsFrom > MAX_STORE_REJECTS_MILLIS) {
        record.say("the node took too long to start");
        return 2;
      }
      boundMillis[0] = record.millis() + Deployment.CONTACT_MILLIS;
      Thread.sleep(100);
    }
    Thread.sleep(Math.max(0, lateSentMillis + HEARTBEAT_LATE_MILLIS - record.millis()));
    int lateStatus = leaver.announce("Heartbeat", late);
    record.say("the late heartbeat arrives: " + lateStatus);
    if (lateStatus == 0) {
      return 2;
    }
    Thread.sleep(Math.max(0, boundMillis[0] - record.millis()) + MEASURED_MILLIS);
    first.stop();
    second.stop();
    Thread.sleep(300);
    leaver.close();
    record.say(
        "sent "
            + (first.sent.get() + second.sent.get())
            + ", served "
            + (first.served.get() + second.served.get())
            + "; DRAIN: "
            + broken.get()
            + " requests sent at "
            + boundMillis[0]
            + " ms or later ran on the backend that left at "
            + acknowledgedMillis
            + " ms");
    return broken.get() > 0 ? 1 : 0;
  }
}
