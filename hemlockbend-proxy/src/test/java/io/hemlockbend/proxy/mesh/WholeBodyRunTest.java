package io.hemlockbend.proxy.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.admission.RefusalReason;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.proxy.http.HttpRequest;
import io.hemlockbend.proxy.peer.RunEnd;
import io.hemlockbend.proxy.peer.RunRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class WholeBodyRunTest {
  private static final RunEnd TOO_LATE = new RunEnd.NotRun(RefusalReason.DEADLINE.reasonToken());
  private static final RunEnd DOWN = new RunEnd.NotRun("upstream-down");
  private static final RunEnd LOST = new RunEnd.Lost("connection closed");

  private final List<RunRequest> offered = new ArrayList<>();
  private final List<Consumer<RunEnd>> listeners = new ArrayList<>();
  private final List<RunEnd> ends = new ArrayList<>();
  private int cancellations;
  private long nowMillis = 1_000;

  @Test
  void requestThatMissesItsTargetIsQueuedAsLate() {
    start(request(300, 2_000));
    nowMillis += 250;
    listeners.get(0).accept(TOO_LATE);
    assertThat(ends).isEmpty();
    assertThat(offered.get(1).targetMillis()).isZero();
    assertThat(offered.get(1).remainingMillis()).isEqualTo(1_750);
    listeners.get(1).accept(TOO_LATE);
    assertThat(ends).containsExactly(TOO_LATE);
    assertThat(offered).hasSize(2);
  }

  @Test
  void endsAtOnceIfTheUpstreamIsDownOrMayHaveRunTheRequest() {
    start(request(300, 2_000));
    listeners.get(0).accept(DOWN);
    start(request(300, 2_000));
    listeners.get(1).accept(LOST);
    start(request(300, 2_000));
    RunEnd shed = new RunEnd.NotRun(RefusalReason.DEADLINE.reasonToken(), true);
    listeners.get(2).accept(shed);
    assertThat(ends).containsExactly(DOWN, LOST, shed);
    assertThat(offered).hasSize(3);
  }

  @Test
  void isNotOfferedAgainOnceCancelledOrExpired() {
    WholeBodyRun run = start(request(300, 2_000));
    run.cancel();
    listeners.get(0).accept(TOO_LATE);
    start(request(300, 2_000));
    nowMillis += 2_000;
    listeners.get(1).accept(TOO_LATE);
    start(request(0, 2_000));
    listeners.get(2).accept(TOO_LATE);
    assertThat(offered).hasSize(3);
    assertThat(ends).hasSize(3);
    assertThat(cancellations).isEqualTo(1);
  }

  private WholeBodyRun start(RunRequest request) {
    WholeBodyRun run =
        new WholeBodyRun(
            (offer, listener) -> {
              offered.add(offer);
              listeners.add(listener);
              return () -> cancellations++;
            },
            request,
            () -> nowMillis,
            ends::add);
    run.start();
    return run;
  }

  private static RunRequest request(long targetMillis, long remainingMillis) {
    return new RunRequest(
        "id",
        "r1",
        new VersionKey(new ServiceName("quotes"), new VersionName("v1")),
        new UpstreamId("i-1"),
        1,
        false,
        targetMillis,
        remainingMillis,
        false,
        new HttpRequest("POST", "/up/", List.of(), new byte[20_000]));
  }
}
