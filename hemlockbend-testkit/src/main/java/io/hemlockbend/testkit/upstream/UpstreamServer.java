package io.hemlockbend.testkit.upstream;

import io.hemlockbend.codec.CodecException;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.testkit.http.BlockingServer;
import io.hemlockbend.testkit.http.Exchange;
import io.hemlockbend.testkit.http.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Semaphore;
import org.eclipse.jetty.http.HttpStatus;

/**
 * A stand-in upstream. It answers every path with {@link UpstreamAnswer} as JSON, and {@code GET
 * .../photo?bytes=&seed=} with a {@link Photo}. {@code POST /_faults} sets {@link UpstreamFaults},
 * {@code GET /_runs} returns a {@link RunReport}, which lists all keys with {@code all=true}.
 */
public final class UpstreamServer implements AutoCloseable {
  private static final String PHOTO_SUFFIX = "/photo";
  private static final int FULL_SHARE_PERMILLE = 1000;
  private static final long IDLE_MILLIS = 250;
  private static final long POLL_MILLIS = 10;

  private final JsonCodec codec = new JsonCodec();
  private final Clock clock = System::currentTimeMillis;
  private final UpstreamSettings settings;
  private final RunLedger ledger;
  private final UpstreamListener listener;
  private final Runnable onCrash;
  private final ConcurrencyGate gate;
  private final Semaphore slots;
  private final Random random;
  private final BlockingServer server;
  private final Optional<Announcer> announcer;
  private volatile UpstreamFaults faults = UpstreamFaults.NONE;
  private volatile long silencedAtMillis = Long.MIN_VALUE;

  /** Creates and starts an upstream in this process; a crash closes it with all connections. */
  public UpstreamServer(UpstreamSettings settings, RunLedger ledger) {
    this(settings, ledger, UpstreamListener.NONE, Optional.empty());
  }

  /**
   * Creates and starts an upstream.
   *
   * @param settings the settings of the upstream
   * @param ledger counts its runs
   * @param listener receives a record of each request
   * @param crash runs on a request with the crash header; empty closes all connections
   */
  public UpstreamServer(
      UpstreamSettings settings,
      RunLedger ledger,
      UpstreamListener listener,
      Optional<Runnable> crash) {
    this.settings = settings;
    this.ledger = ledger;
    this.listener = listener;
    this.onCrash = crash.orElse(this::crash);
    gate = new ConcurrencyGate(clock, settings.cold());
    slots = new Semaphore(settings.slots(), true);
    random = new Random(settings.seed());
    server = new BlockingServer(settings.host(), settings.port(), this::respond);
    announcer = settings.announceUri().map(uri -> new Announcer(uri, settings, server.port()));
  }

  /** Returns the root URI of the upstream. */
  public URI uri() {
    return server.uri();
  }

  /**
   * Returns the runs so far.
   *
   * @param allKeys whether to list all keys, not only those that ran more than once
   */
  public RunReport report(boolean allKeys) {
    return new RunReport(
        ledger.runs(),
        ledger.keys(),
        ledger.keysRun(allKeys ? 1 : 2),
        gate.coldOverloads(),
        gate.maxInFlight());
  }

  /** Replaces the injected faults. */
  public void faults(UpstreamFaults newFaults) {
    faults = newFaults;
    if (newFaults.silenceOpenConnections()) {
      silencedAtMillis = clock.millis();
    }
    if (newFaults.fallCold()) {
      gate.startCold();
    }
  }

  /**
   * Announces that the upstream is draining, then waits until it has been idle for a short time.
   *
   * @param timeoutMillis the maximum time to wait for idleness
   * @return whether no request is in flight at the end
   */
  public boolean drain(long timeoutMillis) throws InterruptedException {
    announcer.ifPresent(each -> each.announceState(EndpointState.DRAINING));
    long endMillis = clock.millis() + timeoutMillis;
    long idleSinceMillis = clock.millis();
    while (clock.millis() < endMillis) {
      if (gate.inFlight() > 0) {
        idleSinceMillis = clock.millis();
      }
      if (clock.millis() - idleSinceMillis >= IDLE_MILLIS) {
        return true;
      }
      Thread.sleep(POLL_MILLIS);
    }
    return gate.inFlight() == 0;
  }

  /** Closes every connection and the listener at once, as when the process dies. */
  public void crash() {
    server.crash();
    announcer.ifPresent(Announcer::close);
  }

  @Override
  public void close() {
    announcer.ifPresent(Announcer::close);
    server.close();
  }

  private void respond(Exchange exchange) throws IOException, InterruptedException {
    switch (exchange.target()) {
      case "POST /_faults" -> setFaults(exchange);
      case "GET /_runs" -> {
        boolean allKeys = exchange.query("all").map(Boolean::parseBoolean).orElse(false);
        exchange.reply(HttpStatus.OK_200, codec.encode(report(allKeys)));
      }
      default -> respondWithFaults(exchange);
    }
  }

  private void setFaults(Exchange exchange) throws IOException {
    try {
      faults(codec.decode(exchange.body(), UpstreamFaults.class));
      exchange.reply(HttpStatus.NO_CONTENT_204);
    } catch (CodecException e) {
      exchange.reply(HttpStatus.BAD_REQUEST_400);
    }
  }

  private void respondWithFaults(Exchange exchange) throws IOException, InterruptedException {
    if (exchange.connectedAtMillis() <= silencedAtMillis) {
      Thread.sleep(Long.MAX_VALUE);
    }
    if (!gate.enter()) {
      listener.onRecord(
          new TraceRecord.ColdOverload(clock.millis(), requestId(exchange), settings.upstream()));
      exchange.reply(HttpStatus.SERVICE_UNAVAILABLE_503);
      return;
    }
    try {
      slots.acquire();
      try {
        run(exchange);
      } finally {
        slots.release();
      }
    } finally {
      gate.exit();
    }
  }

  private void run(Exchange exchange) throws IOException, InterruptedException {
    exchange.body();
    int runs = recordRun(exchange);
    if (exchange.header(Headers.CRASH).map(Boolean::parseBoolean).orElse(false)) {
      onCrash.run();
      return;
    }
    UpstreamFaults current = faults;
    boolean affected = exchange.path().startsWith(current.pathPrefix());
    Thread.sleep(settings.serviceMillis() + (affected ? current.extraMillis() : 0));
    if (affected && selected(current.failurePermille())) {
      addIdentityHeaders(exchange);
      exchange.reply(HttpStatus.INTERNAL_SERVER_ERROR_500);
      return;
    }
    answer(exchange, runs, affected && current.truncate());
  }

  private int recordRun(Exchange exchange) {
    Optional<String> key = exchange.header(Headers.IDEMPOTENCY_KEY);
    listener.onRecord(
        new TraceRecord.Run(
            clock.millis(),
            requestId(exchange),
            key.map(IdempotencyKey::new),
            settings.service(),
            settings.version(),
            settings.upstream()));
    if (key.isEmpty()) {
      ledger.count();
      return 0;
    }
    return ledger.count(key.get());
  }

  private static Optional<RequestId> requestId(Exchange exchange) {
    return exchange.header(Headers.REQUEST_ID).map(RequestId::new);
  }

  private boolean selected(int permille) {
    synchronized (random) {
      return random.nextInt(FULL_SHARE_PERMILLE) < permille;
    }
  }

  private void answer(Exchange exchange, int runs, boolean truncate) throws IOException {
    byte[] body = body(exchange, runs);
    addIdentityHeaders(exchange);
    exchange.responseHeader(Headers.CHECKSUM, Photo.checksum(body));
    if (!truncate) {
      exchange.reply(HttpStatus.OK_200, body);
      return;
    }
    try (OutputStream out = exchange.stream(HttpStatus.OK_200, body.length)) {
      out.write(body, 0, body.length / 2);
      out.flush();
      exchange.abort();
    }
  }

  private byte[] body(Exchange exchange, int runs) {
    if (exchange.path().endsWith(PHOTO_SUFFIX)) {
      int lengthBytes = exchange.query("bytes").map(Integer::parseInt).orElse(0);
      long seed = exchange.query("seed").map(Long::parseLong).orElse(0L);
      return new Photo(lengthBytes, seed).bytes();
    }
    return codec.encode(
        new UpstreamAnswer(
            exchange.header(Headers.REQUEST_ID),
            settings.service(),
            settings.version(),
            settings.upstream(),
            runs));
  }

  private void addIdentityHeaders(Exchange exchange) {
    exchange
        .header(Headers.REQUEST_ID)
        .ifPresent(id -> exchange.responseHeader(Headers.ANSWERED_REQUEST, id));
    exchange.responseHeader(Headers.ANSWERED_VERSION, settings.version().value());
    exchange.responseHeader(Headers.ANSWERED_UPSTREAM, settings.upstream().value());
  }
}
