package io.hemlockbend.testkit.replay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class ReplayMainTest {
  private static final String DIRECTORY = "src/test/resources/replay/";

  @ParameterizedTest
  @CsvSource({
    "good.jsonl, 0",
    "repeated-run.jsonl, 1",
    "truncated.jsonl, 2",
    "garbled.jsonl, 2",
    "missing.jsonl, 2"
  })
  void exitStatusReflectsTheResult(String trace, int status) {
    CommandLine command = new CommandLine(new ReplayMain());
    assertThat(
            command.execute(
                "--outcomes", DIRECTORY + "outcomes.json", "--trace", DIRECTORY + trace))
        .isEqualTo(status);
  }
}
