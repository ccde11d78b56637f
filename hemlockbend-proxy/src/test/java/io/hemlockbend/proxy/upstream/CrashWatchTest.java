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
  private static final RequestId INNOCENT = new RequestId("innocent");

  private final List<Suspicion> spread = new ArrayList<>();
  private final CrashWatch here = new CrashWatch(() -> 0, spread::addAll);
  private final CrashWatch there = new CrashWatch(() -> 0, here::merge);

  @Test
  void requestInFlightAtTwoCrashesRunsNoMore() {
    crash(here, "i-1", POISON, INNOCENT);
    assertThat(here.quarantined(POISON)).isFalse();
    crash(there, "i-2", POISON);
    assertThat(here.quarantined(POISON)).isTrue();
    assertThat(here.quarantined(INNOCENT)).isFalse();
    assertThat(spread).extracting(Suspicion::request).contains(POISON, INNOCENT);
  }

  @Test
  void requestThatWasAnsweredIsNoSuspect() {
    here.watch(new UpstreamId("i-1"));
    here.started(INNOCENT);
    here.answered(INNOCENT);
    here.crashed();
    assertThat(spread).isEmpty();
  }

  /** Two upstreams crash at the same time, and what many callers ask is in flight at both. */
  @Test
  void requestThatRanToItsEndBeforeIsNoSuspect() {
    here.proven(INNOCENT);
    there.proven(INNOCENT);
    crash(here, "i-1", POISON, INNOCENT);
    crash(there, "i-2", POISON, INNOCENT);
    assertThat(here.quarantined(POISON)).isTrue();
    assertThat(here.quarantined(INNOCENT)).isFalse();
    assertThat(spread).extracting(Suspicion::request).containsOnly(POISON);
  }

  @Test
  void sameRequestHasTheSameFingerprintWhateverItsId() {
    assertThat(fingerprint("1", "a", "x")).isEqualTo(fingerprint("2", "a", "x"));
    assertThat(fingerprint("1", "a", "x")).isNotEqualTo(fingerprint("1", "b", "x"));
    assertThat(fingerprint("1", "a", "x")).isNotEqualTo(fingerprint("1", "a", "y"));
  }

  private static void crash(CrashWatch watch, String upstream, RequestId... running) {
    watch.watch(new UpstreamId(upstream));
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
