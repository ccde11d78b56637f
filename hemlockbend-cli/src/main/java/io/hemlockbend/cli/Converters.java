package io.hemlockbend.cli;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.Priority;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionName;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.TypeConversionException;

/** Reads the values of flags and parameters into the types of the core. */
final class Converters {
  private static final Pattern ADDRESS = Pattern.compile("\\[?([0-9A-Za-z.:-]+?)]?:([0-9]{1,5})");

  private static final Map<Class<?>, Function<String, ?>> READERS =
      Map.ofEntries(
          Map.entry(ServiceName.class, ServiceName::new),
          Map.entry(VersionName.class, VersionName::new),
          Map.entry(RouteName.class, RouteName::new),
          Map.entry(FailureDomain.class, FailureDomain::new),
          Map.entry(TeamName.class, TeamName::new),
          Map.entry(CommitId.class, CommitId::new),
          Map.entry(RequestId.class, RequestId::new),
          Map.entry(NodeAddress.class, Converters::address),
          Map.entry(Deadline.class, Converters::deadline),
          Map.entry(Span.class, text -> new Span(Durations.millis(text))),
          Map.entry(Token.class, Token::new),
          Map.entry(int.class, Integer::parseInt),
          Map.entry(boolean.class, Converters::flag),
          Map.entry(Priority.class, text -> Priority.valueOf(text.toUpperCase(Locale.ROOT))),
          Map.entry(OutputForm.class, text -> OutputForm.valueOf(text.toUpperCase(Locale.ROOT))));

  private Converters() {}

  /** Lets a command line use the readers. */
  static void register(CommandLine line) {
    READERS.forEach((type, reader) -> register(line, type, reader));
  }

  private static <T> void register(CommandLine line, Class<T> type, Function<String, ?> reader) {
    line.registerConverter(
        type,
        text -> {
          try {
            @SuppressWarnings("unchecked")
            T value = (T) reader.apply(text);
            return value;
          } catch (IllegalArgumentException e) {
            throw new TypeConversionException(e.getMessage());
          }
        });
  }

  /** Returns what is wrong with a value; empty when it is valid or of a type without reader. */
  static Optional<String> fault(Class<?> type, String text) {
    try {
      READERS.getOrDefault(type, any -> any).apply(text);
      return Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.of(e.getMessage());
    }
  }

  private static boolean flag(String text) {
    if (!text.equals("true") && !text.equals("false")) {
      throw new IllegalArgumentException("'" + text + "' is neither true nor false");
    }
    return text.equals("true");
  }

  private static Deadline deadline(String text) {
    return new Deadline(Durations.deadlineMillis(text, Deadline.now()));
  }

  private static NodeAddress address(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("'" + text + "' is no address; allowed is host:port");
    }
    return new NodeAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
  }
}
