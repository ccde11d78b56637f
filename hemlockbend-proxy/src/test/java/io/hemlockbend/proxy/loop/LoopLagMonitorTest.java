package io.hemlockbend.proxy.loop;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

class LoopLagMonitorTest {
  private static final long BLOCKED_MILLIS = 500;

  @Test
  void logsTimerLateness() throws Exception {
    List<String> events = new CopyOnWriteArrayList<>();
    List<Object> lateness = new CopyOnWriteArrayList<>();
    try (EventLoop loop = new EventLoop()) {
      loop.start();
      LoopLagMonitor[] monitor = new LoopLagMonitor[1];
      loop.execute(
          () ->
              monitor[0] =
                  new LoopLagMonitor(
                      loop,
                      (event, request, details) -> {
                        events.add(event);
                        lateness.add(details[1]);
                      }));
      loop.execute(LoopLagMonitorTest::block);
      await().atMost(Duration.ofSeconds(10)).until(() -> !events.isEmpty());
      assertThat(events.get(0)).isEqualTo("loop-late");
      assertThat((long) lateness.get(0)).isGreaterThanOrEqualTo(BLOCKED_MILLIS / 2);
    }
  }

  private static void block() {
    try {
      Thread.sleep(BLOCKED_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
