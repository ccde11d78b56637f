package io.hemlockbend.cli;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionName;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.TypeConversionException;

/** Reads the values of flags and parameters into the types of the core. */
final class Converters {
  private static final Pattern ADDRESS = Pattern.compile("\\[?([0-9A-Za-z.:-]+?)]?:([0-9]{1,5})");

  private Converters() {}

  static void register(CommandLine line) {
    register(line, ServiceName.class, ServiceName::new);
    register(line, VersionName.class, VersionName::new);
    register(line, RouteName.class, RouteName::new);
    register(line, FailureDomain.class, FailureDomain::new);
    register(line, TeamName.class, TeamName::new);
    register(line, CommitId.class, CommitId::new);
    register(line, RequestId.class, RequestId::new);
    register(line, NodeAddress.class, Converters::address);
    register(
        line, Deadline.class, text -> new Deadline(Durations.deadlineMillis(text, Deadline.now())));
    register(line, Span.class, text -> new Span(Durations.millis(text)));
    register(line, Token.class, Token::new);
  }

  private static <T> void register(CommandLine line, Class<T> type, Function<String, T> reader) {
    line.registerConverter(
        type,
        text -> {
          try {
            return reader.apply(text);
          } catch (IllegalArgumentException e) {
            throw new TypeConversionException(e.getMessage());
          }
        });
  }

  private static NodeAddress address(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("'" + text + "' is no address; allowed is host:port");
    }
    return new NodeAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
  }
}
