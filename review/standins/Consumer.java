import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests to a node at a steady rate over kept connections and records the answers. */
final class Consumer {
  private static final AtomicInteger IDS = new AtomicInteger();

  private final Record record;
  private final String ip;
  private final String host;
  private final String path;
  private final AtomicBoolean stopped = new AtomicBoolean();
  final AtomicInteger sent = new AtomicInteger();
  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger other = new AtomicInteger();

  /** Called before a request is sent, with its id. */
  volatile java.util.function.Consumer<String> onSend = id -> {};

  Consumer(Record record, String ip, String host, String path) {
    this.record = record;
    this.ip = ip;
    this.host = host;
    this.path = path;
  }

  /** Starts connections that each send a request per period. */
  void start(int connections, long periodMillis) {
    for (int i = 0; i < connections; i++) {
      long delay = i * periodMillis / connections;
      Thread.ofVirtual().start(() -> run(delay, periodMillis));
    }
  }

  void stop() {
    stopped.set(true);
  }

  private void run(long delay, long period) {
    try {
      Thread.sleep(delay);
      while (!stopped.get()) {
        try (Socket socket = new Socket()) {
          socket.connect(new InetSocketAddress(ip, Node.OUTBOUND), 1_000);
          socket.setSoTimeout(3_000);
          socket.setTcpNoDelay(true);
          InputStream in = Http.buffered(socket.getInputStream());
          boolean open = true;
          while (open && !stopped.get()) {
            open = exchange(socket, in);
            Thread.sleep(period);
          }
        } catch (IOException e) {
          other.incrementAndGet();
          Thread.sleep(period);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean exchange(Socket socket, InputStream in) throws IOException {
    String id = String.format("q%07d", IDS.incrementAndGet());
    sent.incrementAndGet();
    onSend.accept(id);
    record.add("sent " + id + " to " + ip + " " + path);
    Http.write(
        socket.getOutputStream(),
        "GET "
            + path
            + " HTTP/1.1\r\nHost: "
            + host
            + "\r\nHemlockbend-Request-Id: "
            + id
            + "\r\nHemlockbend-Deadline-Ms: 1200\r\n",
        new byte[0]);
    Http answer = Http.read(in);
    if (answer == null) {
      throw new IOException("closed without an answer");
    }
    (answer.status() == 200 ? served : answer.status() == 503 ? refused : other).incrementAndGet();
    record.add("answered " + id + " " + answer.status());
    return !"close".equalsIgnoreCase(answer.field("Connection"));
  }
}
