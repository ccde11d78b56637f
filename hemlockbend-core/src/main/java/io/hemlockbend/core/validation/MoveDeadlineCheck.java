package io.hemlockbend.core.validation;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.model.Move;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks that the deadline of a move is after its start and within a maximum duration. The deadline
 * is not compared with the current time, since an overdue move must not block other changes.
 *
 * <p>Property {@code maxMillis}: the maximum time from start to deadline; default {@link
 * #MAX_MOVE_MILLIS}.
 *
 * <p>Example of a violation: a move starts at 2000 ms and has its deadline at 1000 ms.
 */
public final class MoveDeadlineCheck implements ConfigurationCheck {
  /** The default maximum time from start to deadline: 7 days. */
  public static final long MAX_MOVE_MILLIS = 7L * 24 * 60 * 60 * 1000;

  private final long maxMillis;

  /** Creates the check with the default. */
  public MoveDeadlineCheck() {
    this(MAX_MOVE_MILLIS);
  }

  /**
   * Creates the check.
   *
   * @param maxMillis the maximum time from start to deadline
   */
  public MoveDeadlineCheck(long maxMillis) {
    this.maxMillis = maxMillis;
  }

  @Override
  public Set<PartKind> visitedKinds() {
    return EnumSet.of(PartKind.MOVE);
  }

  @Override
  public void visit(
      ConfigurationPart part, ValidationContext context, Consumer<Violation> reporter) {
    if (!(part instanceof ConfigurationPart.MovePart(ServiceName key, Move move))) {
      return;
    }
    long durationMillis = move.deadlineMillis() - move.startMillis();
    if (durationMillis < 1 || durationMillis > maxMillis) {
      reporter.accept(
          Violation.of(
              ViolationKey.MOVE_DEADLINE_OUT_OF_RANGE,
              "move of " + key,
              durationMillis,
              maxMillis));
    }
  }
}
