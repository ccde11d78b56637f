package io.hemlockbend.testkit.platform;

import io.hemlockbend.codec.CodecException;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.platform.RowPage;
import io.hemlockbend.testkit.http.BlockingServer;
import io.hemlockbend.testkit.http.Exchange;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpStatus;

/**
 * The platform's HTTP interface over a table and objects in memory, with injected faults. {@code
 * POST /faults} sets {@link PlatformFaults}, {@code GET /counts} returns {@link PlatformCounts};
 * faults do not apply to these two.
 */
public final class PlatformServer implements AutoCloseable {
  private static final int FULL_SHARE_PERMILLE = 1000;
  private static final String OBJECTS_PATH = "/objects/";

  private final JsonCodec codec = new JsonCodec();
  private final InMemoryTable table;
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final AtomicLong objectPuts = new AtomicLong();
  private final AtomicLong objectGets = new AtomicLong();
  private final Random random;
  private final BlockingServer server;
  private volatile PlatformFaults faults = PlatformFaults.NONE;

  /**
   * Creates and starts a server.
   *
   * @param host the IP address to listen on
   * @param port the TCP port, or 0 for any that is free
   * @param table the table that it serves
   * @param seed seeds the random choice of the answers that are lost
   */
  public PlatformServer(String host, int port, InMemoryTable table, long seed) {
    this.table = table;
    random = new Random(seed);
    server = new BlockingServer(host, port, this::respond);
  }

  /** Creates and starts a server of an empty table on a free port of the loopback interface. */
  public static PlatformServer onLoopback(long seed) {
    return new PlatformServer("127.0.0.1", 0, new InMemoryTable(), seed);
  }

  /** Returns the root URI of the server. */
  public URI uri() {
    return server.uri();
  }

  /** Returns the table that it serves. */
  public InMemoryTable table() {
    return table;
  }

  /** Replaces the injected faults. */
  public void faults(PlatformFaults faults) {
    this.faults = faults;
  }

  /** Returns the numbers of calls so far. */
  public PlatformCounts counts() {
    return new PlatformCounts(
        table.reads(), table.transactions(), table.writes(), objectPuts.get(), objectGets.get());
  }

  @Override
  public void close() {
    server.close();
  }

  private void respond(Exchange exchange) throws IOException, InterruptedException {
    switch (exchange.target()) {
      case "POST /faults" -> setFaults(exchange);
      case "GET /counts" -> exchange.reply(HttpStatus.OK_200, codec.encode(counts()));
      default -> respondWithFaults(exchange);
    }
  }

  private void setFaults(Exchange exchange) throws IOException {
    try {
      faults = codec.decode(exchange.body(), PlatformFaults.class);
      exchange.reply(HttpStatus.NO_CONTENT_204);
    } catch (CodecException e) {
      exchange.reply(HttpStatus.BAD_REQUEST_400);
    }
  }

  private void respondWithFaults(Exchange exchange) throws IOException, InterruptedException {
    PlatformFaults current = faults;
    if (current.down()) {
      exchange.abort();
      return;
    }
    byte[] body = exchange.body();
    Thread.sleep(current.slowMillis());
    Answer answer = answer(exchange, body);
    if (answerLost(current)) {
      exchange.abort();
      return;
    }
    exchange.reply(answer.status(), answer.body());
  }

  private boolean answerLost(PlatformFaults current) {
    synchronized (random) {
      return random.nextInt(FULL_SHARE_PERMILLE) < current.lostAnswersPermille();
    }
  }

  private Answer answer(Exchange exchange, byte[] body) {
    if (exchange.path().startsWith(OBJECTS_PATH)) {
      return objectAnswer(exchange, body);
    }
    return switch (exchange.target()) {
      case "GET /table/row" ->
          table
              .read(new RowKey(exchange.query("key").orElse("")))
              .map(this::json)
              .orElse(Answer.NOT_FOUND);
      case "GET /table/scan" -> scan(exchange);
      case "POST /table/transact" -> transact(body);
      default -> Answer.NOT_FOUND;
    };
  }

  private Answer scan(Exchange exchange) {
    String prefix = exchange.query("prefix").orElse("");
    int limit = Integer.parseInt(exchange.query("limit").orElse("0"));
    return json(new RowPage(table.scan(prefix, limit)));
  }

  private Answer transact(byte[] body) {
    Transaction transaction;
    try {
      transaction = codec.decode(body, Transaction.class);
    } catch (CodecException e) {
      return Answer.BAD_REQUEST;
    }
    return json(table.transact(transaction));
  }

  private Answer objectAnswer(Exchange exchange, byte[] body) {
    String name = exchange.path().substring(OBJECTS_PATH.length());
    if (exchange.target().startsWith("PUT ")) {
      objectPuts.incrementAndGet();
      objects.put(name, body);
      return new Answer(HttpStatus.NO_CONTENT_204, new byte[0]);
    }
    objectGets.incrementAndGet();
    byte[] stored = objects.get(name);
    return stored == null ? Answer.NOT_FOUND : new Answer(HttpStatus.OK_200, stored);
  }

  private Answer json(Object value) {
    return new Answer(HttpStatus.OK_200, codec.encode(value));
  }

  private record Answer(int status, byte[] body) {
    static final Answer NOT_FOUND = new Answer(HttpStatus.NOT_FOUND_404, new byte[0]);
    static final Answer BAD_REQUEST = new Answer(HttpStatus.BAD_REQUEST_400, new byte[0]);
  }
}
