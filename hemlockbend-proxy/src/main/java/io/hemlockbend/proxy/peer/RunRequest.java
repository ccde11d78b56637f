package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.proxy.http.HttpRequest;

/**
 * A request to run on one upstream.
 *
 * @param id the request's id, as its caller gave it
 * @param route the route that it matched
 * @param version the version that it may run on
 * @param upstream the upstream that it is for
 * @param priority the route's rank, 0 the most urgent
 * @param idempotent whether it may run more than once
 * @param targetMillis how much longer an answer is in time; 0 when the request is late already and
 *     runs only where nothing else waits
 * @param remainingMillis how much longer its caller waits
 * @param repeat whether another upstream has got the request before
 * @param http the request to the upstream, without the header fields that are added when it is sent
 */
public record RunRequest(
    String id,
    String route,
    VersionKey version,
    UpstreamId upstream,
    int priority,
    boolean idempotent,
    long targetMillis,
    long remainingMillis,
    boolean repeat,
    HttpRequest http) {
  /** Returns the request with another body. */
  public RunRequest withBody(byte[] body) {
    HttpRequest httpWithBody = new HttpRequest(http.method(), http.target(), http.fields(), body);
    return new RunRequest(
        id,
        route,
        version,
        upstream,
        priority,
        idempotent,
        targetMillis,
        remainingMillis,
        repeat,
        httpWithBody);
  }

  /** Returns the request with its times reduced by an elapsed time. */
  public RunRequest withElapsed(long millis) {
    return withTimes(Math.max(0, targetMillis - millis), remainingMillis - millis);
  }

  /** Returns the request marked as late. */
  public RunRequest asLate() {
    return withTimes(0, remainingMillis);
  }

  private RunRequest withTimes(long target, long remaining) {
    return new RunRequest(
        id, route, version, upstream, priority, idempotent, target, remaining, repeat, http);
  }
}
