import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/** A backend beside a node: serves requests and health probes and sends heartbeats on request. */
final class Backend implements AutoCloseable {
  static final int PORT = 8301;
  static final int CONTROL_PORT = 8306;

  final String ip;
  final String zone;
  final String service;
  final String version;
  final String id;
  final long born = System.currentTimeMillis();
  final AtomicInteger runs = new AtomicInteger();
  private final Record record;
  final int slots;
  private final Semaphore free;
  private final ServerSocket server;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  volatile long workMillis = 10;
  volatile boolean leaving;
  volatile long coldUntilMillis;
  volatile boolean failing;

  /** The target of the request that crashes this backend, or null. */
  volatile String crashedBy;

  /** Called with the id of each request when it begins to run, and with this backend. */
  volatile BiConsumer<String, Backend> onRun = (request, backend) -> {};

  Backend(Record record, String ip, String zone, String service, String version, int slots)
      throws IOException {
    this.record = record;
    this.ip = ip;
    this.zone = zone;
    this.service = service;
    this.version = version;
    this.slots = slots;
    this.free = new Semaphore(slots);
    this.id = "i-" + Integer.toHexString((ip + born).hashCode());
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), PORT), 512);
    Thread.ofVirtual().start(this::accept);
  }

  long warmupLeftMillis() {
    return Math.max(0, coldUntilMillis - record.millis());
  }

  /** Returns the body of a heartbeat with the state of now. */
  String heartbeat(long sequence, String state) {
    return String.format(
        "{\"address\":\"%s:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"%s\","
            + "\"zone\":\"%s\",\"max-concurrency\":%d},\"status\":{\"state\":\"%s\","
            + "\"sequence\":%d,\"warmup-left-ms\":%d}}",
        ip, PORT, born, service, version, zone, slots, state, sequence, warmupLeftMillis());
  }

  /** Sends a call to the node beside this backend; returns the status, or 0 without an answer. */
  int announce(String call, String body) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, CONTROL_PORT), 1_000);
      socket.setSoTimeout(1_000);
      Http.write(
          socket.getOutputStream(),
          "POST /v1/Instances."
              + call
              + "/"
              + id
              + " HTTP/1.1\r\nHost: "
              + ip
              + "\r\nContent-Type: application/json\r\n",
          body.getBytes(StandardCharsets.UTF_8));
      Http answer = Http.read(Http.buffered(socket.getInputStream()));
      return answer == null ? 0 : answer.status();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Ends the process: closes the port and resets all connections. */
  void crash() throws IOException {
    record.add("backend " + id + " crashes");
    server.close();
    for (Socket socket : open) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = Http.buffered(socket.getInputStream());
      for (Http call = Http.read(in); call != null; call = Http.read(in)) {
        answer(call, socket);
      }
    } catch (IOException | InterruptedException e) {
      // The node closed the connection.
    } finally {
      open.remove(socket);
    }
  }

  private void answer(Http call, Socket socket) throws IOException, InterruptedException {
    if (call.target().equals("/health")) {
      boolean healthy = !leaving;
      record.add("backend " + id + " health " + (healthy ? 200 : 503) + " warmup-left "
          + warmupLeftMillis());
      Http.write(
          socket.getOutputStream(),
          "HTTP/1.1 "
              + (healthy ? "200 OK" : "503 Leaving")
              + "\r\nHemlockbend-Instance-Id: "
              + id
              + "\r\nHemlockbend-Warmup-Ms: "
              + warmupLeftMillis()
              + "\r\n",
          new byte[0]);
      return;
    }
    String request = call.field("Hemlockbend-Request-Id");
    String expected = call.field("Hemlockbend-Expected-Instance");
    if (expected != null && !expected.equals(id)) {
      record.add("backend " + id + " answers 421 to " + request);
      Http.write(
          socket.getOutputStream(),
          "HTTP/1.1 421 Misdirected\r\nHemlockbend-Request-Id: " + request + "\r\n",
          new byte[0]);
      return;
    }
    free.acquire();
    try {
      runs.incrementAndGet();
      onRun.accept(request, this);
      if (call.target().equals(crashedBy)) {
        crash();
        return;
      }
      Thread.sleep(workMillis);
    } finally {
      free.release();
    }
    Http.write(
        socket.getOutputStream(),
        (failing ? "HTTP/1.1 500 Failed" : "HTTP/1.1 200 OK")
            + "\r\nHemlockbend-Request-Id: "
            + request
            + "\r\nHemlockbend-Response-Seal: seal-"
            + request
            + "\r\n",
        ("ran " + request).getBytes(StandardCharsets.UTF_8));
  }
}
