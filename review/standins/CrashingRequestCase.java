import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A request crashes each backend that runs it, and comes again every few seconds. Its service has no
 * other traffic; another service has.
 */
final class CrashingRequestCase {
  private static final String TARGET = "/rare/poison";
  private static final long PERIOD_MILLIS = 5_000;
  private static final int ATTEMPTS = 9;
  private static final int ALLOWED_RETRIES = 3;
  private static final long BACK_MILLIS = 3_000;

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
        Deployment.service("rare") + "," + Deployment.service("busy"),
        "shop",
        Deployment.rule("/rare/", "idempotent", "rare")
            + ","
            + Deployment.rule("/busy/", "idempotent", "busy"));
    List<Integer> rare = new ArrayList<>();
    for (String zone : List.of("a", "b", "c")) {
      rare.add(mesh.add(zone, "rare", "v1", 9));
      mesh.add(zone, "busy", "v1", 9);
    }
    mesh.awaitReady();
    List<Long> crashes = new ArrayList<>();
    Set<String> late = ConcurrentHashMap.newKeySet();
    Set<String> lateReached = ConcurrentHashMap.newKeySet();
    for (int index : rare) {
      watch(mesh, record, index, trouble, crashes, late, lateReached);
    }
    Consumer busy = new Consumer(record, mesh.ip(1), "shop", "/busy/x");
    busy.start(4, 80);
    Thread.sleep(3_000);
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      String id = "poison-" + attempt;
      synchronized (crashes) {
        if (crashes.size() >= 3
            && record.millis() > crashes.get(2) + Deployment.CONTACT_MILLIS) {
          late.add(id);
        }
      }
      send(record, mesh.ip((2 * attempt + 1) % 6), id);
      Thread.sleep(PERIOD_MILLIS);
    }
    busy.stop();
    Thread.sleep(300);
    record.say(
        "busy service: sent "
            + busy.sent.get()
            + ", served "
            + busy.served.get()
            + "; BUDGET: "
            + crashes.size()
            + " crashes; of "
            + late.size()
            + " retries sent later than contact-ms after the third crash, "
            + lateReached.size()
            + " reached backends, allowed are "
            + ALLOWED_RETRIES);
    return lateReached.size() > ALLOWED_RETRIES ? 1 : 0;
  }

  private static void watch(
      Deployment mesh,
      Record record,
      int index,
      boolean trouble,
      List<Long> crashes,
      Set<String> late,
      Set<String> lateReached) {
    Backend backend = mesh.backends.get(index);
    backend.crashedBy = trouble ? TARGET : null;
    backend.onRun =
        (request, ran) -> {
          record.add("runs " + request + " on " + ran.id);
          if (!trouble || !request.startsWith("poison")) {
            return;
          }
          if (late.contains(request)) {
            lateReached.add(request);
          }
          synchronized (crashes) {
            crashes.add(record.millis());
          }
          Thread.ofVirtual()
              .start(() -> restart(mesh, record, index, crashes, late, lateReached));
        };
  }

  private static void restart(
      Deployment mesh,
      Record record,
      int index,
      List<Long> crashes,
      Set<String> late,
      Set<String> lateReached) {
    try {
      mesh.beating(index, false);
      Thread.sleep(BACK_MILLIS);
      mesh.replace(index);
      watch(mesh, record, index, true, crashes, late, lateReached);
      mesh.beating(index, true);
    } catch (InterruptedException | IOException e) {
      record.say("backend did not come back: " + e);
    }
  }

  private static void send(Record record, String ip, String id) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, Node.OUTBOUND), 1_000);
      socket.setSoTimeout(3_000);
      record.say("sent " + id + " to " + ip);
      Http.write(
          socket.getOutputStream(),
          "GET "
              + TARGET
              + " HTTP/1.1\r\nHost: shop\r\nHemlockbend-Request-Id: "
              + id
              + "\r\nHemlockbend-Deadline-Ms: 1200\r\n",
          new byte[0]);
      Http answer = Http.read(Http.buffered(socket.getInputStream()));
      record.say("answered " + id + " " + (answer == null ? "closed" : answer.start()));
    } catch (IOException e) {
      record.say("not answered " + id + ": " + e);
    }
  }
}
