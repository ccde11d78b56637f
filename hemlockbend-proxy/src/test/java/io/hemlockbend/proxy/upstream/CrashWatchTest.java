package io.hemlockbend.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import io.hemlockbend.proxy.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpField;
import org.junit.jupiter.api.Test;

class CrashWatchTest {
  private static final RequestId POISON = new RequestId("poison");
  private static final RequestId HARMLESS = new RequestId("harmless");

  private final List<Suspicion> published = new ArrayList<>();
  private final CrashWatch local = new CrashWatch(() -> 0, published::addAll);
  private final CrashWatch remote = new CrashWatch(() -> 0, local::merge);

  @Test
  void requestInFlightAtTwoCrashesIsQuarantined() {
    crash(local, "i-1", POISON, HARMLESS);
    assertThat(local.quarantined(POISON)).isFalse();
    crash(remote, "i-2", POISON);
    assertThat(local.quarantined(POISON)).isTrue();
    assertThat(local.quarantined(HARMLESS)).isFalse();
    assertThat(published).extracting(Suspicion::request).contains(POISON, HARMLESS);
  }

  @Test
  void answeredRequestIsNotSuspected() {
    local.reset(new UpstreamId("i-1"));
    local.started(HARMLESS);
    local.answered(HARMLESS);
    local.crashed();
    assertThat(published).isEmpty();
  }

  /** Two upstreams crash at the same time while a common harmless request is in flight at both. */
  @Test
  void requestCompletedEarlierIsNotSuspected() {
    local.completed(HARMLESS);
    remote.completed(HARMLESS);
    crash(local, "i-1", POISON, HARMLESS);
    crash(remote, "i-2", POISON, HARMLESS);
    assertThat(local.quarantined(POISON)).isTrue();
    assertThat(local.quarantined(HARMLESS)).isFalse();
    assertThat(published).extracting(Suspicion::request).containsOnly(POISON);
  }

  @Test
  void fingerprintDoesNotDependOnRequestId() {
    assertThat(fingerprint("1", "a", "x")).isEqualTo(fingerprint("2", "a", "x"));
    assertThat(fingerprint("1", "a", "x")).isNotEqualTo(fingerprint("1", "b", "x"));
    assertThat(fingerprint("1", "a", "x")).isNotEqualTo(fingerprint("1", "a", "y"));
  }

  private static void crash(CrashWatch watch, String upstream, RequestId... running) {
    watch.reset(new UpstreamId(upstream));
    for (RequestId request : running) {
      watch.started(request);
    }
    watch.crashed();
  }

  private static RequestId fingerprint(String id, String caller, String body) {
    List<HttpField> fields = List.of(new HttpField("Id", id), new HttpField("Caller", caller));
    return Fingerprints.of(new HttpRequest("POST", "/a/", fields, body.getBytes()), "Caller");
  }
}
