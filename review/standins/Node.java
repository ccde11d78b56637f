import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A node's process, started with the command of the deploy file; signals go to its id only. */
final class Node implements AutoCloseable {
  static final int OUTBOUND = 8304;
  static final int READY = 8302;

  final String name;
  final String ip;
  private final Record record;
  private final Path settings;
  private final File log;
  private Process process;

  Node(
      Record record,
      Path folder,
      String name,
      String ip,
      String zone,
      String service,
      int storePort,
      String zones)
      throws IOException {
    this.record = record;
    this.name = name;
    this.ip = ip;
    this.settings = folder.resolve(name + ".json");
    this.log = folder.resolve(name + ".log").toFile();
    Files.writeString(
        settings,
        String.format(
            """
            {"local": {"node-name": "%1$s", "role": "node", "machine-class": "sidecar",
              "serves": ["sidecar"], "ip": "%2$s", "zone": "%3$s", "region": "r",
              "loss-counts": false, "bootstrap": true, "data-dir": null,
              "limits": {"cpu-share": 0.6, "cpu-cores": 1, "memory-mb": 430, "max-fds": 4100,
                "link-mbps": 1000.0, "disk-mb": 0},
              "app-addr": "%2$s:8301", "service": "%4$s"},
             "network": {"listen-addrs": {"inbound": "%2$s:8300", "outbound": "%2$s:8304",
                "ready": "%2$s:8302", "control": "%2$s:8306"},
              "internal-port-range": [7620, 7635], "seeds": [], "zones": {%6$s}},
             "platform": {"discovery": "static", "entry": "static", "heartbeat-ms": 1500,
              "platform": {"address": "127.0.0.1:%5$d", "form": "table", "writes-per-s": 400,
                "reads-per-s": 2000, "tx-ms": 3.0, "part-writes-per-s": 300, "row-bytes": 65536,
                "across": true, "history-s": 20, "blob-bytes": 8388608, "blob-ms": 25.0,
                "blob-mb-per-s": 80.0}},
             "timing": {"contracts": ["base", "drain", "config", "cost", "retry", "recover",
                "rollout", "places", "platform"],
              "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
              "bounds": {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000,
                "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
                "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
                "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 60,
                "expose-share": 0.1, "expose-slack": 50, "rollback-ms": 5000, "cold-over": 1.5,
                "cold-slack": 5, "evacuation-ms": 5000, "recover-s": 15}}}
            """,
            name, ip, zone, service, storePort, zones));
  }

  /** Starts the process with the command of the role in deploy/system.toml. */
  void start() throws IOException {
    String command =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run ="))
            .findFirst()
            .orElseThrow()
            .replaceFirst("^run = \"", "")
            .replaceFirst("\"$", "");
    ProcessBuilder builder = new ProcessBuilder(List.of(command.split(" ")));
    builder.environment().put("HEMLOCKBEND_CONFIG", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    record.say(name + " starts, process " + process.pid());
  }

  void kill() throws InterruptedException {
    record.say(name + " gets SIGKILL");
    process.destroyForcibly().waitFor();
  }

  /** Sends SIGTERM; returns whether the process ended within the time. */
  boolean terminate(long waitMillis) throws InterruptedException {
    record.say(name + " gets SIGTERM");
    process.destroy();
    return process.waitFor(waitMillis, TimeUnit.MILLISECONDS);
  }

  void signal(String signal) throws IOException, InterruptedException {
    record.say(name + " gets SIG" + signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  long pid() {
    return process.pid();
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Returns whether the node answers its readiness probe with 200. */
  boolean ready() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, READY), 500);
      socket.setSoTimeout(500);
      Http.write(
          socket.getOutputStream(), "GET /v1/ready HTTP/1.1\r\nHost: " + ip + "\r\n", new byte[0]);
      Http answer = Http.read(Http.buffered(socket.getInputStream()));
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns whether the node accepts connections. */
  boolean listens() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, READY), 500);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady(long timeoutMillis) throws InterruptedException {
    long until = record.millis() + timeoutMillis;
    while (!ready()) {
      if (record.millis() > until) {
        throw new IllegalStateException(name + " is not ready in time");
      }
      Thread.sleep(20);
    }
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
