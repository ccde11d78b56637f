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
 * A connection to a server with one request at a time. An answer is delivered only when it is
 * complete; if it does not have the id of the request, it is dropped. The connection ends on
 * unsolicited bytes, on too many interim or mismatched answers, and if its partial answer is the
 * largest of all when their common size limit is reached.
 */
public final class HttpClientConnection extends LoopConnection
    implements HttpParser.ResponseHandler {
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  /** Limits the buffer allocated from the stated content length; a larger body makes it grow. */
  private static final int MAX_INITIAL_BODY_BYTES = 64 * 1024;

  /** More interim answers than a server has reason to send to one request. */
  private static final int MAX_DROPPED_ANSWERS = 16;

  /** Bytes of framing for each byte of a body; chunks of a single byte need five. */
  private static final long MAX_FRAMING_PER_BYTE = 16;

  /** Receives the result of a request; exactly one of the methods is called, once. */
  public interface Listener {
    /**
     * Called when the complete answer was received.
     *
     * @param reply the answer
     * @param reusable whether the connection can send another request
     */
    void answered(HttpReply reply, boolean reusable);

    /**
     * Called when the connection ended without a complete answer.
     *
     * @param reason the cause, for logs
     */
    void failed(String reason);
  }

  private final HttpParser parser;
  private final String idField;
  private final BodyBuffer body = new BodyBuffer();
  private final PartialMessageBudget<HttpClientConnection> answerBudget;
  private final Runnable endedListener;
  private List<HttpField> fields = new ArrayList<>();
  private Listener listener;
  private String expectedId;
  private int status;
  private long idleSinceMillis;
  private int dropped;
  private long parsedBytes;
  private long bodyBytes;
  private boolean parsing;
  private boolean mismatched;
  private boolean completedInParse;

  /**
   * Creates a connection.
   *
   * @param endPoint the end point connected to the server
   * @param loop the event loop
   * @param idField the header field with the request id, in requests and answers
   * @param answerBudget limits the bytes of the partial answers of all connections
   * @param endedListener called when the connection has ended
   */
  public HttpClientConnection(
      EndPoint endPoint,
      EventLoop loop,
      String idField,
      PartialMessageBudget<HttpClientConnection> answerBudget,
      Runnable endedListener) {
    super(endPoint, loop);
    this.idField = idField;
    this.answerBudget = answerBudget;
    this.endedListener = endedListener;
    this.parser = new HttpParser(this, MAX_HEAD_BYTES, HttpCompliance.RFC7230);
    this.idleSinceMillis = loop.millis();
  }

  /**
   * Sends a request.
   *
   * @param request the request, with all its header fields
   * @param responseListener receives the result
   * @throws IllegalStateException if another request is in progress or the connection has ended
   */
  public void send(HttpRequest request, Listener responseListener) {
    if (listener != null || hasEnded()) {
      throw new IllegalStateException("connection is busy or has ended");
    }
    listener = responseListener;
    dropped = 0;
    parsedBytes = 0;
    bodyBytes = 0;
    expectedId = request.field(idField);
    parser.setHeadResponse("HEAD".equals(request.method()));
    writeQueue().add(HttpMessages.requestHead(request));
    if (request.body().length > 0) {
      writeQueue().add(ByteBuffer.wrap(request.body()));
    }
  }

  /** Returns since when the connection is idle, in milliseconds of the event loop's clock. */
  public long idleSinceMillis() {
    return idleSinceMillis;
  }

  @Override
  protected void received(ByteBuffer bytes) {
    while (bytes.hasRemaining() && !hasEnded()) {
      if (listener == null) {
        end(null);
        break;
      }
      if (parser.isComplete()) {
        parser.reset();
      }
      int before = bytes.remaining();
      parser.parseNext(bytes);
      parsedBytes += before - bytes.remaining();
      if (completedInParse) {
        completedInParse = false;
        deliver(bytes.hasRemaining());
      } else if (framingExceeded()) {
        end(new IllegalStateException("more framing than answer: " + parsedBytes + " bytes"));
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
    answerBudget.release(this);
    notifyFailure(cause == null ? "connection closed" : "connection broke: " + cause.getMessage());
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
    body.reserve(
        Math.min(parser.getContentLength(), MAX_INITIAL_BODY_BYTES), MAX_INITIAL_BODY_BYTES);
    return false;
  }

  @Override
  public boolean content(ByteBuffer chunk) {
    bodyBytes += chunk.remaining();
    HttpClientConnection largest = answerBudget.add(this, chunk.remaining());
    while (largest != null) {
      largest.end(
          new IllegalStateException(
              "largest of the partial answers, which exceed "
                  + answerBudget.limitBytes()
                  + " bytes"));
      if (largest == this) {
        return true;
      }
      largest = answerBudget.largestIfOverLimit();
    }
    body.add(chunk, answerBudget.limitBytes());
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
    end(new IllegalStateException("invalid HTTP response: " + failure.getReason()));
  }

  /** The parser limits heads; lengths and extensions of chunks may go on without an end. */
  private boolean framingExceeded() {
    return parsedBytes - bodyBytes
        > MAX_DROPPED_ANSWERS * MAX_HEAD_BYTES + MAX_FRAMING_PER_BYTE * bodyBytes;
  }

  private void deliver(boolean moreBytes) {
    parsing = false;
    byte[] bytes = body.take();
    answerBudget.release(this);
    if (HttpStatus.isInformational(status) || listener == null) {
      drop();
      return;
    }
    // Without an id it may be an earlier answer, sent again; a refusal among them would be
    // believed.
    if (expectedId != null && !expectedId.equals(HttpMessages.value(fields, idField))) {
      mismatched = true;
      drop();
      return;
    }
    boolean reusable =
        !moreBytes && !mismatched && !closeRequested() && writeQueue().drained() && !hasEnded();
    HttpReply reply = new HttpReply(status, endToEndFields(), bytes, keepAliveSeconds());
    Listener pending = listener;
    listener = null;
    idleSinceMillis = loop().millis();
    if (!reusable) {
      end(null);
    }
    pending.answered(reply, reusable);
  }

  private void drop() {
    dropped++;
    if (dropped > MAX_DROPPED_ANSWERS) {
      end(
          new IllegalStateException(
              "got "
                  + dropped
                  + " interim or mismatched answers, allowed are "
                  + MAX_DROPPED_ANSWERS));
    }
  }

  private boolean closeRequested() {
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

  private List<HttpField> endToEndFields() {
    String connection = HttpMessages.value(fields, HttpHeader.CONNECTION.asString());
    List<HttpField> endToEnd = new ArrayList<>(fields.size());
    for (HttpField field : fields) {
      if (!HttpMessages.hopByHop(field, connection)) {
        endToEnd.add(field);
      }
    }
    return endToEnd;
  }

  private void notifyFailure(String reason) {
    Listener pending = listener;
    listener = null;
    if (pending != null) {
      pending.failed(parsing ? "answer broke off: " + reason : reason);
    }
  }
}
