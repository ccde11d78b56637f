package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.model.Move;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that the deadline of a move is after its start and not too far off. It compares the two
 * with each other and not with the present, since a move that is late must not hinder other
 * changes.
 *
 * <p>Property {@code maxMillis}: the longest time from start to deadline; default {@link
 * #MAX_MOVE_MILLIS}.
 *
 * <p>Example of a violation: a move that starts at 2000 ms with its deadline at 1000 ms.
 */
public final class MoveDeadlineCheck implements ConfigurationCheck {
  /** The default of the longest time from start to deadline: 7 days. */
  public static final long MAX_MOVE_MILLIS = 7L * 24 * 60 * 60 * 1000;

  private final long maxMillis;

  /** Makes the check with the default. */
  public MoveDeadlineCheck() {
    this(MAX_MOVE_MILLIS);
  }

  /**
   * Makes the check.
   *
   * @param maxMillis the longest time from start to deadline
   */
  public MoveDeadlineCheck(long maxMillis) {
    this.maxMillis = maxMillis;
  }

  @Override
  public Set<PartKind> wantedKinds() {
    return EnumSet.of(PartKind.MOVE);
  }

  @Override
  public void visit(ConfigurationPart part, ValidationContext context, Consumer<Violation> found) {
    if (!(part instanceof ConfigurationPart.MovePart(ServiceName key, Move move))) {
      return;
    }
    long lastsMillis = move.deadlineMillis() - move.startMillis();
    if (lastsMillis < 1 || lastsMillis > maxMillis) {
      found.accept(
          Violation.of(
              ViolationKey.MOVE_DEADLINE_OUT_OF_RANGE, "move of " + key, lastsMillis, maxMillis));
    }
  }
}
