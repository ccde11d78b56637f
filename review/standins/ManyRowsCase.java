import java.io.IOException;
import java.nio.file.Path;

/**
 * Machines were added and taken away in the past; the rows with which their nodes had registered are
 * still in the store. All processes of the live machines are killed at once and start again.
 */
final class ManyRowsCase {
  private static final int REMOVED_MACHINES = 500;
  private static final long DOWN_MILLIS = 1_000;
  private static final long RECOVER_MILLIS = 15_000;
  private static final long MEASURE_MILLIS = 6_000;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(args[0]);
    Record record = new Record(folder.resolve("record.txt"));
    int exit = 2;
    try (Deployment mesh = new Deployment(record, "a", "b", "c")) {
      exit = run(mesh, record, trouble);
      mesh.keepLogs(Path.of("review/target"));
    } catch (RuntimeException | IOException e) {
      record.say("could not run: " + e);
    }
    record.say(exit == 1 ? "broken" : exit == 0 ? "held" : "not run");
    System.exit(exit);
  }

  private static int run(Deployment mesh, Record record, boolean trouble) throws Exception {
    mesh.configure(
        7,
        Deployment.service("s") + "," + Deployment.service("t"),
        "shop",
        Deployment.rule("/s/", "idempotent", "s") + "," + Deployment.rule("/t/", "idempotent", "t"));
    mesh.add("b", "s", "v1", 9);
    mesh.add("b", "t", "v1", 9);
    mesh.add("c", "s", "v1", 9);
    mesh.add("c", "t", "v1", 9);
    int removed = mesh.add("a", "s", "v1", 9);
    mesh.awaitReady();
    // Each machine's consumers ask for the service whose backends are beside other machines.
    Consumer[] consumers = new Consumer[4];
    for (int i = 0; i < consumers.length; i++) {
      consumers[i] = new Consumer(record, mesh.ip(i), "shop", i % 2 == 0 ? "/t/x" : "/s/x");
      consumers[i].start(2, 50);
    }
    Thread.sleep(2_000);
    // One machine is really taken away, to see that the row of its node stays.
    mesh.beating(removed, false);
    Node left = mesh.nodes.remove(removed);
    mesh.backends.get(removed).leaving = true;
    mesh.backends.get(removed).announce("Deregister", "{}");
    Thread.sleep(2_500);
    if (!left.terminate(8_000)) {
      record.say(left.name + " did not end");
      return 2;
    }
    mesh.backends.get(removed).close();
    Thread.sleep(500);
    if (!mesh.store.hasKey(left.name)) {
      record.say("the node of a removed machine removes its row");
      return trouble ? 2 : 0;
    }
    mesh.store.registerRemoved(REMOVED_MACHINES - 1, "a", mesh.ip(0));
    int[] before = counts(consumers);
    Thread.sleep(4_000);
    int[] middle = counts(consumers);
    double servedBefore = share(before, middle);
    if (trouble) {
      for (Node node : mesh.nodes) {
        node.kill();
      }
      Thread.sleep(DOWN_MILLIS);
      for (Node node : mesh.nodes) {
        node.start();
      }
    }
    Thread.sleep(RECOVER_MILLIS);
    int[] from = counts(consumers);
    Thread.sleep(MEASURE_MILLIS);
    int[] until = counts(consumers);
    for (Consumer consumer : consumers) {
      consumer.stop();
    }
    double servedAfter = share(from, until);
    record.say(
        String.format(
            "RECOVER: %.3f of the requests were served before; of %d sent later than recover-s after"
                + " the machines are back %d were served",
            servedBefore, until[0] - from[0], until[1] - from[1]));
    if (servedBefore < 0.25 || until[0] == from[0]) {
      return 2;
    }
    return servedAfter < 0.25 ? 1 : 0;
  }

  private static int[] counts(Consumer[] consumers) {
    int[] counts = new int[2];
    for (Consumer consumer : consumers) {
      counts[0] += consumer.sent.get();
      counts[1] += consumer.served.get();
    }
    return counts;
  }

  private static double share(int[] from, int[] until) {
    return (double) (until[1] - from[1]) / Math.max(1, until[0] - from[0]);
  }
}
