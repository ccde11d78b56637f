package io.hemlockbend.node.admin;

import io.hemlockbend.core.acceptance.Author;
import io.hemlockbend.core.api.TeamName;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Authenticates operators by bearer token. Only SHA-256 hashes of the tokens are kept. A presented
 * token is hashed and compared with every hash in constant time, so that timing reveals neither how
 * much of a token matched nor which token it was.
 */
public final class TokenAuthenticator {
  /** The team in the setting that owns all services and failure domains. */
  public static final String ALL_TEAMS = "*";

  /** The team name of operators of {@link #ALL_TEAMS} in the audit trail. */
  public static final TeamName PLATFORM_TEAM = new TeamName("platform");

  private static final String SCHEME = "bearer ";
  private static final Pattern HASHED = Pattern.compile("sha256:[0-9a-f]{64}");
  private static final Pattern GRANT =
      Pattern.compile(
          "(.+)=(reader|operator):([A-Za-z0-9._-]{1,64}|\\*)(?::([A-Za-z0-9._-]{1,64}))?");
  private static final int NAME_HASH_DIGITS = 8;

  private final List<Grant> grants;

  private record Grant(byte[] hash, Operator operator) {}

  private TokenAuthenticator(List<Grant> grants) {
    this.grants = List.copyOf(grants);
  }

  /**
   * Parses the setting of the operators' tokens.
   *
   * @param setting {@code token=role:team} or {@code token=role:team:name}, separated by commas;
   *     the token may be given as {@code sha256:} and the 64 hexadecimal digits of its hash. The
   *     default name is the team followed by the first 8 digits of the hash.
   * @throws IllegalArgumentException when an entry is malformed; the message names its position but
   *     never contains a token
   */
  public static TokenAuthenticator of(String setting) {
    if (setting.isBlank()) {
      return new TokenAuthenticator(List.of());
    }
    String[] entries = setting.split(",");
    Grant[] grants = new Grant[entries.length];
    for (int i = 0; i < entries.length; i++) {
      grants[i] = grant(i + 1, entries[i].trim());
    }
    return new TokenAuthenticator(Arrays.asList(grants));
  }

  private static Grant grant(int position, String entry) {
    Matcher parts = GRANT.matcher(entry);
    if (!parts.matches()) {
      throw new IllegalArgumentException(
          "token " + position + " does not match token=role:team[:name]");
    }
    byte[] hash = hash(parts.group(1));
    boolean ownsAll = parts.group(3).equals(ALL_TEAMS);
    TeamName team = ownsAll ? PLATFORM_TEAM : new TeamName(parts.group(3));
    String digits = HexFormat.of().formatHex(hash).substring(0, NAME_HASH_DIGITS);
    String name = parts.group(4) == null ? team + "-" + digits : parts.group(4);
    Role role = Role.valueOf(parts.group(2).toUpperCase(Locale.ROOT));
    return new Grant(hash, new Operator(new Author(name, team, ownsAll), role));
  }

  private static byte[] hash(String token) {
    return HASHED.matcher(token).matches()
        ? HexFormat.of().parseHex(token.substring(token.indexOf(':') + 1))
        : sha256(token);
  }

  private static byte[] sha256(String token) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Authenticates a request.
   *
   * @param authorization the request's Authorization header, or null
   * @return the operator, or empty when the token is missing or unknown
   */
  public Optional<Operator> authenticate(String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    byte[] presented = sha256(authorization.substring(SCHEME.length()).trim());
    Operator found = null;
    for (Grant grant : grants) {
      if (MessageDigest.isEqual(grant.hash(), presented)) {
        found = grant.operator();
      }
    }
    return Optional.ofNullable(found);
  }
}
