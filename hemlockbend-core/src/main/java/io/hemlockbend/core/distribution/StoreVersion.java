package io.hemlockbend.core.distribution;

import java.util.Comparator;

/**
 * A version of the platform's store. When the store is restored from an older copy, its numbers go
 * back and are given out again, so that a number orders versions of one era only.
 *
 * @param era the era of the store, which rises with each restore
 * @param number the number of the version in its era
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {
  /** Older than every version of a store. */
  public static final StoreVersion NONE = new StoreVersion(-1, -1);

  private static final Comparator<StoreVersion> ORDER =
      Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::number);

  /** Returns whether this version is newer than another one. */
  public boolean newerThan(StoreVersion other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(StoreVersion other) {
    return ORDER.compare(this, other);
  }
}
