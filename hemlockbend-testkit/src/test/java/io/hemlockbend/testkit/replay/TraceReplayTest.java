package io.hemlockbend.testkit.replay;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.testkit.trace.TraceReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TraceReplayTest {
  private static final Path DIRECTORY = Path.of("src/test/resources/replay");

  private static List<Violation> replay(String trace) throws IOException {
    StatedOutcomes outcomes =
        new JsonCodec()
            .decode(Files.readAllBytes(DIRECTORY.resolve("outcomes.json")), StatedOutcomes.class);
    TraceReplay replay = new TraceReplay(TraceReplay.allChecks(outcomes));
    new TraceReader().read(DIRECTORY.resolve(trace), replay::accept);
    return replay.violations();
  }

  @Test
  void goodTracePasses() throws IOException {
    assertThat(replay("good.jsonl")).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "damaged-answer, WrongAnswer, 28",
    "crossed-answer, WrongAnswer, 28",
    "cut-request, CutRequest, 28",
    "repeated-run, RepeatedRun, 28",
    "false-not-run, FalseNotRun, 29",
    "work-in-withdrawn-domain, WorkInWithdrawnDomain, 28",
    "work-on-leaving-upstream, WorkOnLeavingUpstream, 28",
    "cold-start-overloaded, ColdStartOverloaded, 28",
    "older-configuration, OlderConfiguration, 28",
    "late-configuration, LateConfiguration, 27",
    "bad-version-used, BadVersionUsed, 28",
    "bad-share-exceeded, BadShareExceeded, 28"
  })
  void badTraceViolatesOnlyItsRule(String trace, String violation, int line) throws IOException {
    List<Violation> violations = replay(trace + ".jsonl");
    assertThat(violations).hasSize(1);
    assertThat(violations.getFirst().getClass().getSimpleName()).isEqualTo(violation);
    assertThat(violations.getFirst().position().line()).isEqualTo(line);
  }
}
