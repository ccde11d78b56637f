import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment on loopback addresses of its own: a store, nodes and a backend beside each. */
final class Deployment implements AutoCloseable {
  static final long HEARTBEAT_MILLIS = 1_500;
  static final long CONTACT_MILLIS = 3_000;

  final Record record;
  final Store store;
  final List<Node> nodes = new ArrayList<>();
  final List<Backend> backends = new ArrayList<>();
  final List<AtomicLong> sequences = new ArrayList<>();
  private final List<Boolean> beating = new ArrayList<>();
  private final Path folder;
  private final String net;
  private final String zones;

  Deployment(Record record, String... zoneNames) throws IOException {
    this.record = record;
    this.store = new Store(record);
    this.folder = Files.createTempDirectory("hemlockbend-review");
    this.net = freeNet();
    StringBuilder json = new StringBuilder();
    for (String zone : zoneNames) {
      json.append(json.isEmpty() ? "" : ", ").append("\"" + zone + "\": \"r\"");
    }
    this.zones = json.toString();
    // Also when this process is told to end.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::close)));
  }

  /** Returns the first three numbers of loopback addresses on which the ports are free. */
  private static String freeNet() {
    Random random = new Random();
    while (true) {
      String net = "127." + (30 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
      try (ServerSocket probe =
          new ServerSocket(Backend.PORT, 1, InetAddress.getByName(net + "1"))) {
        return net;
      } catch (IOException e) {
        // In use; tries the next one.
      }
    }
  }

  String ip(int index) {
    return net + (index + 1);
  }

  /** Adds a machine with a backend and starts its node; returns its index. */
  int add(String zone, String service, String version, int slots) throws IOException {
    int index = nodes.size();
    String ip = ip(index);
    backends.add(new Backend(record, ip, zone, service, version, slots));
    sequences.add(new AtomicLong());
    beating.add(true);
    Node node =
        new Node(
            record, folder, "sidecar-" + zone + "-" + (index + 1), ip, zone, service, store.open(index), zones);
    nodes.add(node);
    node.start();
    Thread.ofVirtual().start(() -> beat(index));
    return index;
  }

  /** Starts a backend anew, with a new id, where one has crashed. */
  void replace(int index) throws IOException {
    Backend old = backends.get(index);
    backends.set(
        index, new Backend(record, old.ip, old.zone, old.service, old.version, old.slots));
    sequences.get(index).set(0);
    record.say("backend " + backends.get(index).id + " starts in the place of " + old.id);
  }

  /** Sets whether a backend sends heartbeats on its own. */
  synchronized void beating(int index, boolean beats) {
    beating.set(index, beats);
  }

  private synchronized boolean isBeating(int index) {
    return beating.get(index);
  }

  private void beat(int index) {
    try {
      while (true) {
        if (isBeating(index)) {
          Backend backend = backends.get(index);
          backend.announce(
              "Heartbeat",
              backend.heartbeat(sequences.get(index).incrementAndGet(), "ready"));
        }
        Thread.sleep(HEARTBEAT_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void awaitReady() throws InterruptedException {
    for (Node node : nodes) {
      node.awaitReady(20_000);
    }
  }

  /** Writes a desired state; routes are JSON objects. */
  void configure(int version, String services, String host, String rules) {
    store.put(
        "op",
        "config",
        String.format(
            "{\"version\":\"%08x\",\"services\":[%s],\"limits\":{\"max-header-bytes\":16384,"
                + "\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000},\"virtual-hosts\":[{\"host\":\"%s\","
                + "\"path-rules\":[%s]}]}",
            version, services, host, rules));
  }

  static String service(String name) {
    return "{\"name\":\""
        + name
        + "\",\"health-path\":\"/health\",\"max-connections\":120,\"protocol\":\"h1\","
        + "\"tls\":false,\"warmup-s\":3.0,\"warmup-per-s\":32.0}";
  }

  static String rule(String prefix, String kind, String service) {
    return String.format(
        "{\"name\":\"r%s\",\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout-ms\":1200,"
            + "\"target-latency-ms\":200,\"priority\":1,\"service\":\"%s\",\"max-attempts\":2}",
        prefix.replace('/', '-'), prefix, kind, service);
  }

  /** Copies the nodes' logs beside the record. */
  void keepLogs(Path to) throws IOException {
    for (Node node : nodes) {
      Path log = folder.resolve(node.name + ".log");
      if (Files.exists(log)) {
        Files.copy(
            log,
            to.resolve(node.name + ".log"),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Node node : nodes) {
      node.close();
    }
    for (Backend backend : backends) {
      backend.close();
    }
    store.close();
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }
}
