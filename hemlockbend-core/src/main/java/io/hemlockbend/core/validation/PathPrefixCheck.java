package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.RouteName;
import io.hemlockbend.core.model.Route;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Checks that a path prefix begins with a slash, has no empty, {@code .} or {@code ..} segment, no
 * query, fragment, percent escape, space or control character, and is not too long. A valid prefix
 * can be compared byte by byte with the path of a request.
 *
 * <p>Property {@code maxLength}: the maximum length in characters; default {@link #MAX_LENGTH}.
 *
 * <p>Example of a violation: route {@code quotes} has the path prefix {@code quotes/}.
 */
public final class PathPrefixCheck implements ConfigurationCheck {
  private static final Pattern CHARACTERS = Pattern.compile("[A-Za-z0-9._~!$&'()*+,;=:@/-]*");
  private static final Pattern BAD_SEGMENT = Pattern.compile("//|/\\.{1,2}(/|$)");

  /** The default maximum length in characters. */
  public static final long MAX_LENGTH = 512;

  private final long maxLength;

  /** Creates the check with the default. */
  public PathPrefixCheck() {
    this(MAX_LENGTH);
  }

  /**
   * Creates the check.
   *
   * @param maxLength the maximum length in characters
   */
  public PathPrefixCheck(long maxLength) {
    this.maxLength = maxLength;
  }

  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.ROUTE);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    if (!(part instanceof ConfigurationPart.RoutePart(RouteName key, Route route))) {
      return;
    }
    String prefix = route.pathPrefix();
    String fault = fault(prefix);
    if (fault != null) {
      reporter.accept(
          Violation.of(ViolationKey.PATH_PREFIX_MALFORMED, "route " + key, prefix, fault));
    }
  }

  private String fault(String prefix) {
    if (prefix == null || !prefix.startsWith("/")) {
      return "must begin with a slash";
    }
    if (prefix.length() > maxLength) {
      return "must have at most " + maxLength + " characters, has " + prefix.length();
    }
    if (!CHARACTERS.matcher(prefix).matches()) {
      return "must contain only characters of [A-Za-z0-9._~!$&'()*+,;=:@/-]";
    }
    return BAD_SEGMENT.matcher(prefix).find() ? "must not contain an empty, . or .. segment" : null;
  }
}
