package io.hemlockbend.testkit.trace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RequestId;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TraceReaderTest {
  private static final Path DIRECTORY = Path.of("src/test/resources/replay");
  private static final TraceRecord APPLIED =
      new TraceRecord.Applied(7, new NodeId("n1"), new ConfigurationVersion(3));

  private final List<TraceLine> lines = new ArrayList<>();

  @Test
  void writtenTraceIsReadBack(@TempDir Path directory) throws IOException {
    Path file = directory.resolve("trace.jsonl");
    try (TraceWriter writer = new TraceWriter(file)) {
      writer.write(APPLIED);
      assertThat(Files.readAllLines(file)).hasSize(2);
    }
    new TraceReader().read(file, lines::add);
    assertThat(lines).containsExactly(new TraceLine(new TracePosition("trace.jsonl", 2), APPLIED));
  }

  @ParameterizedTest
  @CsvSource({
    "truncated.jsonl, truncated.jsonl:5: ",
    "garbled.jsonl, garbled.jsonl:3: ",
    "other-version.jsonl, other-version.jsonl:1: ",
    "node.log, node.log:1: "
  })
  void malformedLineIsReportedWithItsPosition(String file, String expectedPosition) {
    assertThatThrownBy(() -> new TraceReader().read(DIRECTORY.resolve(file), lines::add))
        .isInstanceOf(TraceException.class)
        .hasMessageStartingWith(expectedPosition);
  }

  @Test
  void otherLinesOfANodeLogAreSkipped() throws IOException {
    new NodeLogReader().read(DIRECTORY.resolve("node.log"), lines::add);
    assertThat(lines).extracting(line -> line.position().line()).containsExactly(2, 3, 4);
    assertThat(lines.getFirst().record())
        .isEqualTo(new TraceRecord.Applied(1000, new NodeId("n1"), new ConfigurationVersion(4)));
    assertThat(lines.get(1).record())
        .isInstanceOfSatisfying(
            TraceRecord.Decision.class,
            line -> assertThat(line.decision().request()).contains(new RequestId("r1")));
  }

  @Test
  void incompleteLineOfANodeLogIsReportedWithItsPosition(@TempDir Path directory)
      throws IOException {
    Path file = directory.resolve("cut.log");
    Files.writeString(file, "{}\n{\"decision\":{\"atMillis\":\"1\"}}\n");
    assertThatThrownBy(() -> new NodeLogReader().read(file, lines::add))
        .isInstanceOf(TraceException.class)
        .hasMessageStartingWith("cut.log:2: ");
  }
}
