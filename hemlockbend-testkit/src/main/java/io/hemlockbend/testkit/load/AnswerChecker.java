package io.hemlockbend.testkit.load;

import io.hemlockbend.codec.CodecException;
import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.trace.AnswerState;
import io.hemlockbend.codec.trace.CallKind;
import io.hemlockbend.testkit.http.Headers;
import io.hemlockbend.testkit.upstream.Photo;
import io.hemlockbend.testkit.upstream.UpstreamAnswer;
import java.util.Arrays;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.http.HttpStatus;

/** Checks whether an answer of the stand-in upstream is whole and answers the caller's request. */
final class AnswerChecker {
  private final JsonCodec codec = new JsonCodec();
  private final int photoBytes;

  AnswerChecker(int photoBytes) {
    this.photoBytes = photoBytes;
  }

  /** Classifies an HTTP response that was received completely. */
  AnswerState check(PlannedCall call, ContentResponse response) {
    String answeredRequest = response.getHeaders().get(Headers.ANSWERED_REQUEST);
    if (answeredRequest != null && !answeredRequest.equals(call.request().value())) {
      return AnswerState.CROSSED;
    }
    if (response.getStatus() != HttpStatus.OK_200) {
      return AnswerState.REFUSED;
    }
    byte[] body = response.getContent();
    boolean checksumMatches =
        Photo.checksum(body).equals(response.getHeaders().get(Headers.CHECKSUM));
    if (answeredRequest == null || !checksumMatches) {
      return AnswerState.DAMAGED;
    }
    return call.kind() == CallKind.PHOTO ? checkPhoto(call, body) : checkJson(call, body);
  }

  /**
   * Classifies a call that ended without a complete HTTP response.
   *
   * @param answerBegun whether the response's status line was received
   */
  static AnswerState classifyFailure(Throwable failure, boolean answerBegun) {
    boolean timedOut = failure instanceof TimeoutException;
    return answerBegun && !timedOut ? AnswerState.BROKEN : AnswerState.NONE;
  }

  private AnswerState checkPhoto(PlannedCall call, byte[] body) {
    byte[] expected = new Photo(photoBytes, call.photoSeed()).bytes();
    if (body.length != photoBytes) {
      return AnswerState.DAMAGED;
    }
    return Arrays.equals(body, expected) ? AnswerState.WHOLE : AnswerState.CROSSED;
  }

  private AnswerState checkJson(PlannedCall call, byte[] body) {
    try {
      UpstreamAnswer answer = codec.decode(body, UpstreamAnswer.class);
      boolean ownRequest = answer.request().filter(call.request().value()::equals).isPresent();
      return ownRequest ? AnswerState.WHOLE : AnswerState.CROSSED;
    } catch (CodecException e) {
      return AnswerState.DAMAGED;
    }
  }
}
