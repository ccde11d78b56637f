package io.hemlockbend.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionName;
import org.junit.jupiter.api.Test;

class UpstreamRecordTest {
  @Test
  void laterSequenceOfOneProcessIsNewer() {
    assertThat(record("i-1", 100, 5).newerThan(record("i-1", 100, 4))).isTrue();
    assertThat(record("i-1", 100, 4).newerThan(record("i-1", 100, 4))).isFalse();
  }

  @Test
  void laterStartIsNewerDespiteASmallerSequence() {
    assertThat(record("i-1", 200, 1).newerThan(record("i-1", 100, 90))).isTrue();
  }

  @Test
  void delayedRecordOfAnEarlierProcessIsOlderDespiteAGreaterSequence() {
    assertThat(record("i-1", 100, 90).newerThan(record("i-2", 200, 1))).isFalse();
  }

  private static UpstreamRecord record(String id, long started, long sequence) {
    return new UpstreamRecord(
        new UpstreamId(id),
        started,
        new ServiceName("quotes"),
        new VersionName("v1"),
        new FailureDomain("tunis"),
        "10.0.0.1:80",
        9,
        false,
        0,
        sequence);
  }
}
