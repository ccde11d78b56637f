package io.hemlockbend.proxy.http;

import io.hemlockbend.core.transfer.PartialMessageBudget;
import io.hemlockbend.proxy.loop.EventLoop;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
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
 * A connection to a server that runs one request at a time. An answer is given on only when it is
 * whole and bears the id of the request that waits; an answer to another request is dropped, and
 * bytes that no request asked for end the connection. So do too many interim answers or answers to
 * other requests, and an answer that holds more than all others when their bound is reached.
 */
public final class HttpClientConnection extends LoopConnection
    implements HttpParser.ResponseHandler {
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  /** From which length on room for a body is made as it comes, whatever length it states. */
  private static final int EXPECTED_BYTES = 64 * 1024;

  /** More interim answers than any server has reason to send to one request. */
  private static final int MAX_DROPPED_ANSWERS = 16;

  /** Hears how the request ended; one of the methods is called, once. */
  public interface Listener {
    /**
     * The whole answer came.
     *
     * @param reply the answer
     * @param reusable whether the connection may take another request
     */
    void answered(HttpReply reply, boolean reusable);

    /**
     * No whole answer came, and the connection is over.
     *
     * @param reason why
     */
    void failed(String reason);
  }

  private final HttpParser parser;
  private final String idField;
  private final BodyBuffer body = new BodyBuffer();
  private final PartialMessageBudget<HttpClientConnection> held;
  private final Runnable endedListener;
  private List<HttpField> fields = new ArrayList<>();
  private Listener listener;
  private String expectedId;
  private int status;
  private long answeredMillis;
  private int dropped;
  private boolean parsing;
  private boolean crossed;
  private boolean completedInParse;

  /**
   * Makes a connection.
   *
   * @param endPoint the server's end point
   * @param loop the event loop
   * @param idField the header field that names the request in requests and answers
   * @param held bounds the bytes of all answers that are not whole
   * @param endedListener hears that the connection is over
   */
  public HttpClientConnection(
      EndPoint endPoint,
      EventLoop loop,
      String idField,
      PartialMessageBudget<HttpClientConnection> held,
      Runnable endedListener) {
    super(endPoint, loop);
    this.idField = idField;
    this.held = held;
    this.endedListener = endedListener;
    this.parser = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.RFC7230);
    this.answeredMillis = loop.millis();
  }

  /**
   * Sends a request.
   *
   * @param request the request, with all its header fields
   * @param hears hears how it ends
   * @throws IllegalStateException when another request is under way or the connection is over
   */
  public void send(HttpRequest request, Listener hears) {
    if (listener != null || isOver()) {
      throw new IllegalStateException("the connection is not free");
    }
    listener = hears;
    dropped = 0;
    expectedId = request.field(idField);
    parser.setHeadResponse("HEAD".equals(request.method()));
    outbox().add(HttpMessages.requestHead(request));
    if (request.body().length > 0) {
      outbox().add(ByteBuffer.wrap(request.body()));
    }
  }

  /** Returns since when no request is under way, in the loop's milliseconds. */
  public long answeredMillis() {
    return answeredMillis;
  }

  @Override
  protected void received(ByteBuffer bytes) {
    while (bytes.hasRemaining() && !isOver()) {
      if (listener == null) {
        end(null);
        break;
      }
      if (parser.isComplete()) {
        parser.reset();
      }
      int before = bytes.remaining();
      parser.parseNext(bytes);
      if (completedInParse) {
        completedInParse = false;
        deliver(bytes.hasRemaining());
      } else if (bytes.remaining() == before && !parser.isComplete()) {
        break;
      }
    }
    BufferUtil.clear(bytes);
  }

  @Override
  protected void inputEnded() {
    parser.atEOF();
    parser.parseNext(BufferUtil.EMPTY_BUFFER);
    if (completedInParse) {
      completedInParse = false;
      deliver(true);
    }
    end(null);
  }

  @Override
  protected void ended(Throwable cause) {
    held.release(this);
    fail(cause == null ? "connection closed" : "connection broke: " + cause.getMessage());
    endedListener.run();
  }

  @Override
  public void startResponse(HttpVersion version, int responseStatus, String reason) {
    status = responseStatus;
    fields = new ArrayList<>();
    parsing = true;
  }

  @Override
  public void parsedHeader(HttpField field) {
    fields.add(field);
  }

  @Override
  public boolean headerComplete() {
    body.expect(Math.min(parser.getContentLength(), EXPECTED_BYTES), EXPECTED_BYTES);
    return false;
  }

  @Override
  public boolean content(ByteBuffer piece) {
    HttpClientConnection largest = held.add(this, piece.remaining());
    while (largest != null) {
      largest.end(
          new IllegalStateException(
              "its answer held most of the " + held.limitBytes() + " bytes for all"));
      if (largest == this) {
        return true;
      }
      largest = held.largestIfOverLimit();
    }
    body.add(piece, held.limitBytes());
    return false;
  }

  @Override
  public boolean contentComplete() {
    return false;
  }

  @Override
  public boolean messageComplete() {
    completedInParse = true;
    return true;
  }

  @Override
  public void earlyEOF() {
    end(null);
  }

  @Override
  public void badMessage(HttpException failure) {
    end(new IllegalStateException("not an answer: " + failure.getReason()));
  }

  private void deliver(boolean moreBytes) {
    parsing = false;
    byte[] bytes = body.take();
    held.release(this);
    if (HttpStatus.isInformational(status) || listener == null) {
      drop();
      return;
    }
    String id = HttpMessages.value(fields, idField);
    if (id != null && expectedId != null && !id.equals(expectedId)) {
      crossed = true;
      drop();
      return;
    }
    boolean reusable = !moreBytes && !crossed && !closes() && outbox().drained() && !isOver();
    HttpReply reply = new HttpReply(status, forwarded(), bytes, keepAliveSeconds());
    Listener hears = listener;
    listener = null;
    answeredMillis = loop().millis();
    if (!reusable) {
      end(null);
    }
    hears.answered(reply, reusable);
  }

  private void drop() {
    dropped++;
    if (dropped > MAX_DROPPED_ANSWERS) {
      end(new IllegalStateException(dropped + " answers came before the one that is due"));
    }
  }

  private boolean closes() {
    String connection = HttpMessages.value(fields, HttpHeader.CONNECTION.asString());
    return connection != null && connection.equalsIgnoreCase("close");
  }

  private long keepAliveSeconds() {
    String value = HttpMessages.value(fields, HttpHeader.KEEP_ALIVE.asString());
    if (value == null) {
      return 0;
    }
    Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(value);
    return timeout.find() ? Long.parseLong(timeout.group(1)) : 0;
  }

  private List<HttpField> forwarded() {
    String connection = HttpMessages.value(fields, HttpHeader.CONNECTION.asString());
    List<HttpField> kept = new ArrayList<>(fields.size());
    for (HttpField field : fields) {
      if (!HttpMessages.hopByHop(field, connection)) {
        kept.add(field);
      }
    }
    return kept;
  }

  private void fail(String reason) {
    Listener hears = listener;
    listener = null;
    if (hears != null) {
      hears.failed(parsing ? "answer broke off: " + reason : reason);
    }
  }
}
