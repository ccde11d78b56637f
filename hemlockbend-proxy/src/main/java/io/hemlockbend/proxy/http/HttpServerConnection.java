package io.hemlockbend.proxy.http;

import io.hemlockbend.core.traffic.CallerLimits;
import io.hemlockbend.core.transfer.BodyMemory;
import io.hemlockbend.proxy.loop.EventLoop;
import io.hemlockbend.proxy.loop.Timer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * A caller's connection. Requests are passed to the handler as soon as they are complete, also
 * while earlier ones run; answers are sent in the order of the requests. When the caller
 * disconnects, its requests are abandoned.
 */
public final class HttpServerConnection extends LoopConnection
    implements HttpParser.RequestHandler {
  private static final int MAX_PIPELINED_REQUESTS = 128;
  private static final long LINGER_MILLIS = 500;
  private static final long MAX_BODY_MILLIS = 60_000;
  private static final ByteBuffer CONTINUE =
      ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));

  /** When a caller may send a body again that there was no memory for. */
  private static final String MEMORY_RETRY_AFTER_SECONDS = "0.3";

  private final Supplier<CallerLimits> limits;
  private final BodyMemory memory;
  private final Consumer<Exchange> handler;
  private final Consumer<HttpServerConnection> endedListener;
  private final BooleanSupplier draining;
  private final HttpParser parser;
  private final ArrayDeque<Exchange> unanswered = new ArrayDeque<>();
  private final BodyBuffer body = new BodyBuffer();
  private List<HttpField> fields = new ArrayList<>();
  private String method;
  private String target;
  private HttpVersion version;
  private long headersMillis;
  private long lastActivityMillis;
  private Timer receiveTimer;
  private boolean receiving;
  private boolean closing;
  private boolean refused;

  /** The counted bytes of the body that is being received. */
  private long heldBytes;

  /** Creates a connection without a limit on the memory for all bodies. */
  public HttpServerConnection(
      EndPoint endPoint,
      EventLoop loop,
      Supplier<CallerLimits> limits,
      BooleanSupplier draining,
      Consumer<Exchange> handler,
      Consumer<HttpServerConnection> endedListener) {
    this(endPoint, loop, limits, BodyMemory.unlimited(), draining, handler, endedListener);
  }

  /**
   * Creates a connection.
   *
   * @param endPoint the end point connected to the caller
   * @param loop the event loop
   * @param limits the current limits
   * @param memory the memory for the bodies of all connections
   * @param draining whether to close the connection after its last pending answer
   * @param handler receives the complete requests
   * @param endedListener called when the connection has ended
   */
  public HttpServerConnection(
      EndPoint endPoint,
      EventLoop loop,
      Supplier<CallerLimits> limits,
      BodyMemory memory,
      BooleanSupplier draining,
      Consumer<Exchange> handler,
      Consumer<HttpServerConnection> endedListener) {
    super(endPoint, loop);
    this.limits = limits;
    this.memory = memory;
    this.draining = draining;
    this.handler = handler;
    this.endedListener = endedListener;
    this.parser = new HttpParser(this, limits.get().maxHeaderBytes(), HttpCompliance.RFC7230);
    this.lastActivityMillis = loop.millis();
    watchIdle(limits.get().idleTimeoutMillis());
  }

  /**
   * Closes the connection if no request is in progress and it was idle long enough that none is
   * likely to be arriving.
   *
   * @param idleMillis the minimum time without activity
   */
  public void closeIfIdle(long idleMillis) {
    boolean idle = loop().millis() - lastActivityMillis >= idleMillis;
    if (idle && unanswered.isEmpty() && !receiving && writeQueue().drained()) {
      end(null);
    }
  }

  /** Returns whether a request is being received or its answer is not yet sent. */
  public boolean busy() {
    return receiving || !unanswered.isEmpty() || !writeQueue().drained();
  }

  @Override
  protected void received(ByteBuffer bytes) {
    lastActivityMillis = loop().millis();
    while (bytes.hasRemaining() && !closing && !hasEnded()) {
      if (parser.isComplete()) {
        parser.reset();
      }
      int before = bytes.remaining();
      parser.parseNext(bytes);
      if (bytes.remaining() == before && !parser.isComplete()) {
        break;
      }
    }
    BufferUtil.clear(bytes);
  }

  @Override
  protected void inputEnded() {
    end(null);
  }

  @Override
  protected void ended(Throwable cause) {
    stopReceiveTimer();
    releaseBody();
    endedListener.accept(this);
    while (!unanswered.isEmpty()) {
      Exchange exchange = unanswered.poll();
      memory.release(exchange.heldBytes());
      exchange.abandon();
    }
  }

  @Override
  public void startRequest(String requestMethod, String uri, HttpVersion httpVersion) {
    receiving = true;
    method = requestMethod;
    target = uri;
    version = httpVersion;
    fields = new ArrayList<>();
    stopReceiveTimer();
    receiveTimer =
        loop().after(limits.get().headerTimeoutMillis(), () -> receiveTimedOut("headers"));
  }

  @Override
  public void parsedHeader(HttpField field) {
    fields.add(field);
  }

  @Override
  public boolean headerComplete() {
    headersMillis = loop().millis();
    stopReceiveTimer();
    if (parser.getContentLength() > limits.get().maxBodyBytes()) {
      refuse(HttpStatus.PAYLOAD_TOO_LARGE_413, "body too large");
      return true;
    }
    if (!holdBody(parser.getContentLength())) {
      return true;
    }
    body.reserve(parser.getContentLength(), limits.get().maxBodyBytes());
    receiveTimer = loop().after(MAX_BODY_MILLIS, () -> receiveTimedOut("body"));
    if (HttpMessages.value(fields, HttpHeader.EXPECT.asString()) != null) {
      writeQueue().add(CONTINUE.duplicate());
    }
    return false;
  }

  @Override
  public boolean content(ByteBuffer chunk) {
    // A buffer of unknown size is copied to one of twice the size when it is full.
    long growing = parser.getContentLength() > 0 ? 0 : 2L * (body.length() + chunk.remaining());
    if (refused || !holdBody(growing)) {
      return false;
    }
    if (!body.add(chunk, limits.get().maxBodyBytes())) {
      refuse(HttpStatus.PAYLOAD_TOO_LARGE_413, "body too large");
    }
    return false;
  }

  @Override
  public boolean contentComplete() {
    return false;
  }

  @Override
  public boolean messageComplete() {
    stopReceiveTimer();
    receiving = false;
    byte[] bytes = body.take();
    if (closing || refused) {
      return true;
    }
    HttpRequest request = new HttpRequest(method, target, fields, bytes);
    memory.release(heldBytes - Math.min(heldBytes, BodyMemory.counted(bytes.length)));
    heldBytes = Math.min(heldBytes, BodyMemory.counted(bytes.length));
    Exchange exchange = new Exchange(this, request, headersMillis, heldBytes);
    heldBytes = 0;
    if (unanswered.size() >= MAX_PIPELINED_REQUESTS) {
      unanswered.add(exchange);
      exchange.respond(HttpReply.text(HttpStatus.SERVICE_UNAVAILABLE_503, "too many requests"));
      return true;
    }
    unanswered.add(exchange);
    handler.accept(exchange);
    return true;
  }

  @Override
  public void earlyEOF() {
    end(null);
  }

  @Override
  public void badMessage(HttpException failure) {
    refuse(failure.getCode(), String.valueOf(failure.getReason()));
  }

  /** Sends the answers that are ready, in the order of their requests. */
  void sendReadyReplies() {
    while (!unanswered.isEmpty() && unanswered.peek().answered() && !hasEnded()) {
      Exchange exchange = unanswered.poll();
      boolean last = unanswered.isEmpty() && !receiving;
      boolean close = last && (refused || draining.getAsBoolean() || closeRequested(exchange));
      send(exchange, close);
      if (close) {
        closeAfterWriting();
      }
    }
  }

  private void send(Exchange exchange, boolean close) {
    HttpReply reply = exchange.reply();
    memory.release(exchange.heldBytes());
    lastActivityMillis = loop().millis();
    writeQueue().add(HttpMessages.replyHead(reply, close));
    if (!"HEAD".equals(exchange.request().method()) && HttpMessages.bodyAllowed(reply.status())) {
      writeQueue().add(ByteBuffer.wrap(reply.body()));
    }
  }

  private boolean closeRequested(Exchange exchange) {
    String connection = exchange.request().field(HttpHeader.CONNECTION.asString());
    return version == HttpVersion.HTTP_1_0
        || connection != null && connection.toLowerCase(java.util.Locale.ROOT).contains("close");
  }

  /** Answers an unacceptable request after all earlier ones and closes the connection. */
  private void refuse(int status, String reason) {
    refuse(HttpReply.text(status, reason));
  }

  private void refuse(HttpReply reply) {
    if (refused) {
      return;
    }
    refused = true;
    receiving = false;
    body.take();
    releaseBody();
    HttpRequest request = new HttpRequest("-", "-", List.of(), new byte[0]);
    Exchange exchange = new Exchange(this, request, loop().millis(), 0);
    unanswered.add(exchange);
    exchange.respond(reply);
  }

  /** Reserves memory for the body; refuses the request, which has not run, if there is none. */
  private boolean holdBody(long neededBytes) {
    if (memory.grow(heldBytes, neededBytes)) {
      heldBytes = Math.max(heldBytes, BodyMemory.counted(neededBytes));
      return true;
    }
    refuse(
        HttpReply.text(
            HttpStatus.SERVICE_UNAVAILABLE_503,
            "no memory for the body",
            new HttpField(HttpHeader.RETRY_AFTER, MEMORY_RETRY_AFTER_SECONDS)));
    return false;
  }

  private void releaseBody() {
    memory.release(heldBytes);
    heldBytes = 0;
  }

  private void receiveTimedOut(String part) {
    refuse(HttpStatus.REQUEST_TIMEOUT_408, part + " took too long");
  }

  private void closeAfterWriting() {
    closing = true;
    writeQueue()
        .whenDrained(
            () -> {
              getEndPoint().shutdownOutput();
              loop().after(LINGER_MILLIS, () -> end(null));
            });
  }

  private void watchIdle(long delayMillis) {
    loop().after(delayMillis, this::checkIdle);
  }

  private void checkIdle() {
    if (hasEnded()) {
      return;
    }
    long idleMillis = loop().millis() - lastActivityMillis;
    long left = limits.get().idleTimeoutMillis() - idleMillis;
    if (left <= 0 && !busy()) {
      end(null);
    } else {
      watchIdle(Math.max(left, limits.get().idleTimeoutMillis() / 4));
    }
  }

  private void stopReceiveTimer() {
    if (receiveTimer != null) {
      receiveTimer.cancel();
      receiveTimer = null;
    }
  }
}
