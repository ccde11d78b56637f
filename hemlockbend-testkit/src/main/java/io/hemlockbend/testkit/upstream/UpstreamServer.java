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
 * {@code GET /_runs} returns a {@link RunReport}, with {@code all=true} of all keys.
 */
public final class UpstreamServer implements AutoCloseable {
  private static final String PHOTO_SUFFIX = "/photo";
  private static final int ALL_PERMILLE = 1000;
  private static final long QUIET_MILLIS = 250;
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
  private volatile long silentUntilMillis = Long.MIN_VALUE;

  /** Makes an upstream in this process and starts it; a crash closes it with all connections. */
  public UpstreamServer(UpstreamSettings settings, RunLedger ledger) {
    this(settings, ledger, UpstreamListener.NONE, Optional.empty());
  }

  /**
   * Makes an upstream and starts it.
   *
   * @param settings what it is
   * @param ledger counts what it runs
   * @param listener is told what it does with its requests
   * @param crash what a request that crashes it does, or empty to close all connections
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

  /** Returns the root of its interface. */
  public URI uri() {
    return server.uri();
  }

  /** Returns what it ran. */
  public RunReport report(boolean allKeys) {
    return new RunReport(
        ledger.runs(),
        ledger.keys(),
        ledger.keysRun(allKeys ? 1 : 2),
        gate.coldOverloads(),
        gate.mostAtOnce());
  }

  /** Sets what is wrong from now on. */
  public void faults(UpstreamFaults newFaults) {
    faults = newFaults;
    if (newFaults.silenceOpenConnections()) {
      silentUntilMillis = clock.millis();
    }
    if (newFaults.fallCold()) {
      gate.fallCold();
    }
  }

  /**
   * Announces that it leaves, then waits until it has been without requests for a moment.
   *
   * @param boundMillis how long to wait at most
   * @return whether all requests have ended
   */
  public boolean drain(long boundMillis) throws InterruptedException {
    announcer.ifPresent(each -> each.announceState(EndpointState.DRAINING));
    long endMillis = clock.millis() + boundMillis;
    long quietSinceMillis = clock.millis();
    while (clock.millis() < endMillis) {
      if (gate.inside() > 0) {
        quietSinceMillis = clock.millis();
      }
      if (clock.millis() - quietSinceMillis >= QUIET_MILLIS) {
        return true;
      }
      Thread.sleep(POLL_MILLIS);
    }
    return gate.inside() == 0;
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
    if (exchange.connectedAtMillis() <= silentUntilMillis) {
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
      gate.leave();
    }
  }

  private void run(Exchange exchange) throws IOException, InterruptedException {
    exchange.body();
    int runs = count(exchange);
    if (exchange.header(Headers.CRASH).map(Boolean::parseBoolean).orElse(false)) {
      onCrash.run();
      return;
    }
    UpstreamFaults current = faults;
    boolean concerned = exchange.path().startsWith(current.pathPrefix());
    Thread.sleep(settings.serviceMillis() + (concerned ? current.extraMillis() : 0));
    if (concerned && drawn(current.failurePermille())) {
      identify(exchange);
      exchange.reply(HttpStatus.INTERNAL_SERVER_ERROR_500);
      return;
    }
    answer(exchange, runs, concerned && current.truncate());
  }

  private int count(Exchange exchange) {
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

  private boolean drawn(int permille) {
    synchronized (random) {
      return random.nextInt(ALL_PERMILLE) < permille;
    }
  }

  private void answer(Exchange exchange, int runs, boolean truncate) throws IOException {
    byte[] body = body(exchange, runs);
    identify(exchange);
    exchange.answerHeader(Headers.CHECKSUM, Photo.checksum(body));
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

  private void identify(Exchange exchange) {
    exchange
        .header(Headers.REQUEST_ID)
        .ifPresent(id -> exchange.answerHeader(Headers.ANSWERED_REQUEST, id));
    exchange.answerHeader(Headers.ANSWERED_VERSION, settings.version().value());
    exchange.answerHeader(Headers.ANSWERED_UPSTREAM, settings.upstream().value());
  }
}
