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

/** Converts the values of flags and parameters to their types. */
final class Converters {
  private static final Pattern ADDRESS = Pattern.compile("\\[?([0-9A-Za-z.:-]+?)]?:([0-9]{1,5})");

  private static final Map<Class<?>, Function<String, ?>> CONVERTERS =
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
          Map.entry(TimeSpan.class, text -> new TimeSpan(Durations.millis(text))),
          Map.entry(Token.class, Token::new),
          Map.entry(int.class, Integer::parseInt),
          Map.entry(boolean.class, Converters::flag),
          Map.entry(Priority.class, text -> Priority.valueOf(text.toUpperCase(Locale.ROOT))),
          Map.entry(OutputForm.class, text -> OutputForm.valueOf(text.toUpperCase(Locale.ROOT))));

  private Converters() {}

  /** Registers the converters with a command line. */
  static void register(CommandLine line) {
    CONVERTERS.forEach((type, converter) -> register(line, type, converter));
  }

  private static <T> void register(CommandLine line, Class<T> type, Function<String, ?> converter) {
    line.registerConverter(
        type,
        text -> {
          try {
            @SuppressWarnings("unchecked")
            T value = (T) converter.apply(text);
            return value;
          } catch (IllegalArgumentException e) {
            throw new TypeConversionException(e.getMessage());
          }
        });
  }

  /** Returns the error of a value; empty when it is valid or its type has no converter. */
  static Optional<String> fault(Class<?> type, String text) {
    try {
      CONVERTERS.getOrDefault(type, any -> any).apply(text);
      return Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.of(e.getMessage());
    }
  }

  private static boolean flag(String text) {
    if (!text.equals("true") && !text.equals("false")) {
      throw new IllegalArgumentException("'" + text + "' is not a boolean; expected true or false");
    }
    return text.equals("true");
  }

  private static Deadline deadline(String text) {
    return new Deadline(Durations.deadlineMillis(text, Deadline.now()));
  }

  private static NodeAddress address(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("'" + text + "' is not an address; expected host:port");
    }
    return new NodeAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
  }
}
