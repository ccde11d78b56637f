package io.hemlockbend.proxy.peer;

import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.proxy.http.HttpRequest;

/**
 * A request that is to run on one upstream.
 *
 * @param id the request's id, as its caller gave it
 * @param route the route that it came by
 * @param version the version that it may run on
 * @param upstream the upstream that it is for
 * @param priority the route's rank, 0 the most urgent
 * @param idempotent whether it may run more than once
 * @param targetMillis the time within which an answer has its full value, from now on; 0 when the
 *     request is late already and runs only where nothing else waits
 * @param remainingMillis how long its caller waits from now on
 * @param http the request as it goes to the upstream, but for what depends on the time
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
    HttpRequest http) {
  /** Returns the request with another body. */
  public RunRequest withBody(byte[] body) {
    HttpRequest with = new HttpRequest(http.method(), http.target(), http.fields(), body);
    return new RunRequest(
        id, route, version, upstream, priority, idempotent, targetMillis, remainingMillis, with);
  }

  /** Returns the request as it is after some time. */
  public RunRequest after(long millis) {
    return withTimes(Math.max(0, targetMillis - millis), remainingMillis - millis);
  }

  /** Returns the request as one that is late already. */
  public RunRequest late() {
    return withTimes(0, remainingMillis);
  }

  private RunRequest withTimes(long target, long remaining) {
    return new RunRequest(
        id, route, version, upstream, priority, idempotent, target, remaining, http);
  }
}
