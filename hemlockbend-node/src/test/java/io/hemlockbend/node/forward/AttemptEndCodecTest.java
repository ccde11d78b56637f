package io.hemlockbend.node.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.retry.AttemptEnd;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptEndCodecTest {
  /** A node of another version, or one whose headers were cut, may leave the reason out. */
  @ParameterizedTest
  @CsvSource({"not-run, false", "may-have-run, true", "unheard-of, true"})
  void errorWithoutReasonKeepsItsOutcome(String outcome, boolean mayHaveRun) {
    AttemptEnd end = AttemptEndCodec.decode(outcome, 503, null).end();
    assertThat(end.mayHaveRun()).isEqualTo(mayHaveRun);
  }
}
