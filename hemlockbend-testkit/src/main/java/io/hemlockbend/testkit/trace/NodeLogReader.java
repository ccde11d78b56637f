package io.hemlockbend.testkit.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hemlockbend.codec.trace.TraceRecord;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.DecisionKind;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the decisions from a node's log. A line of the log is a JSON object; one with the property
 * {@code decision} holds a decision as an object of strings; other lines are skipped. A
 * configuration that came into force is read as {@link TraceRecord.Applied}.
 */
public final class NodeLogReader {
  private static final String DECISION = "decision";
  private static final Pattern IN_FORCE = Pattern.compile("configuration (\\d+): in force");

  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a reader. */
  public NodeLogReader() {}

  /**
   * Reads a whole log.
   *
   * @param file the log
   * @param sink receives each decision in the order of the lines
   * @throws IOException when the file cannot be read
   * @throws TraceException at the first line that is malformed or truncated
   */
  public void read(Path file, Consumer<TraceLine> sink) throws IOException {
    String name = file.getFileName().toString();
    try (BufferedReader in = Files.newBufferedReader(file)) {
      int number = 1;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        TracePosition position = new TracePosition(name, number);
        parse(position, line).ifPresent(each -> sink.accept(new TraceLine(position, each)));
        number++;
      }
    }
  }

  private Optional<TraceRecord> parse(TracePosition position, String line) {
    try {
      JsonNode decision = mapper.readTree(line).get(DECISION);
      return decision == null ? Optional.empty() : Optional.of(decode(decision));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw new TraceException(position, "not a line of a node's log: " + e.getMessage(), e);
    }
  }

  private static TraceRecord decode(JsonNode line) {
    NodeId node = new NodeId(required(line, "node"));
    long atMillis = Long.parseLong(required(line, "atMillis"));
    DecisionKind kind = DecisionKind.valueOf(required(line, "kind").toUpperCase(Locale.ROOT));
    String reason = required(line, "reason");
    Matcher inForce = IN_FORCE.matcher(reason);
    if (kind == DecisionKind.APPLY && inForce.matches()) {
      ConfigurationVersion version = new ConfigurationVersion(Long.parseLong(inForce.group(1)));
      return new TraceRecord.Applied(atMillis, node, version);
    }
    DecisionRecord decision =
        new DecisionRecord(
            atMillis,
            kind,
            optional(line, "request", RequestId::new),
            optional(line, "route", RouteName::new),
            optional(line, "version", NodeLogReader::versionKey),
            optional(line, "upstream", UpstreamId::new),
            Boolean.parseBoolean(required(line, "refused")),
            reason);
    return new TraceRecord.Decision(node, decision);
  }

  private static String required(JsonNode line, String name) {
    JsonNode value = line.get(name);
    if (value == null) {
      throw new IllegalArgumentException("missing property " + name);
    }
    return value.asText();
  }

  private static <T> Optional<T> optional(JsonNode line, String name, Function<String, T> parser) {
    return Optional.ofNullable(line.get(name)).map(JsonNode::asText).map(parser);
  }

  private static VersionKey versionKey(String text) {
    int separator = text.indexOf('/');
    if (separator < 0) {
      throw new IllegalArgumentException("version must be service/version, got " + text);
    }
    return new VersionKey(
        new ServiceName(text.substring(0, separator)),
        new VersionName(text.substring(separator + 1)));
  }
}
