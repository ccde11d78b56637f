package io.hemlockbend.core.api;

/**
 * The number of an accepted configuration; each acceptance increments it.
 *
 * @param value zero for the empty configuration, then 1, 2, 3 and so on
 */
public record ConfigurationVersion(long value) implements Comparable<ConfigurationVersion> {
  /** The version of the empty configuration, which every mesh starts from. */
  public static final ConfigurationVersion NONE = new ConfigurationVersion(0);

  /**
   * Validates the number.
   *
   * @throws IllegalArgumentException when it is negative
   */
  public ConfigurationVersion {
    if (value < 0) {
      throw new IllegalArgumentException("configuration version must not be negative: " + value);
    }
  }

  /** Returns the version that the next acceptance creates. */
  public ConfigurationVersion next() {
    return new ConfigurationVersion(value + 1);
  }

  /** Returns whether this version is newer than the other. */
  public boolean newerThan(ConfigurationVersion other) {
    return value > other.value;
  }

  @Override
  public int compareTo(ConfigurationVersion other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
