package io.hemlockbend.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.codec.AnnouncementBody;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.StartId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import org.junit.jupiter.api.Test;

class LocalUpstreamTest {
  private final LocalUpstream upstream = new LocalUpstream(2_000);

  @Test
  void announcementDoesNotEndDrainOfNode() {
    upstream.announced(body("s1", EndpointState.READY), 0);
    assertThat(upstream.drain()).isTrue();
    upstream.announced(body("s1", EndpointState.READY), 500);
    assertThat(upstream.endpoint().orElseThrow().state()).isEqualTo(EndpointState.DRAINING);
  }

  /** An announcement that was sent before the upstream began to drain arrives late. */
  @Test
  void lateAnnouncementDoesNotEndDrainOfItsProcess() {
    upstream.announced(body("s1", EndpointState.READY), 0);
    upstream.announced(body("s1", EndpointState.DRAINING), 500);
    upstream.announced(body("s1", EndpointState.READY), 1_000);
    assertThat(upstream.endpoint().orElseThrow().state()).isEqualTo(EndpointState.DRAINING);
    assertThat(upstream.expire(4_000)).isTrue();
    upstream.announced(body("s1", EndpointState.READY), 4_500);
    assertThat(upstream.endpoint().orElseThrow().state()).isEqualTo(EndpointState.DRAINING);
    upstream.announced(body("s2", EndpointState.READY), 5_000);
    assertThat(upstream.endpoint().orElseThrow().state()).isEqualTo(EndpointState.READY);
  }

  @Test
  void newStartWithoutDrainIsACrash() {
    upstream.announced(body("s1", EndpointState.READY), 0);
    assertThat(upstream.announced(body("s2", EndpointState.READY), 500)).isTrue();
    upstream.announced(body("s2", EndpointState.DRAINING), 900);
    assertThat(upstream.announced(body("s3", EndpointState.READY), 1_500)).isFalse();
  }

  @Test
  void expiredAnnouncementMarksUpstreamDownOnce() {
    upstream.announced(body("s1", EndpointState.READY), 0);
    assertThat(upstream.expire(2_000)).isFalse();
    assertThat(upstream.expire(2_001)).isTrue();
    assertThat(upstream.expire(2_002)).isFalse();
    assertThat(upstream.endpoint().orElseThrow().state()).isEqualTo(EndpointState.DOWN);
  }

  private static AnnouncementBody body(String start, EndpointState state) {
    return new AnnouncementBody(
        new UpstreamId("u1"),
        new StartId(start),
        new ServiceName("quotes"),
        new VersionName("v1"),
        state,
        10,
        "127.0.0.1",
        9000);
  }
}
