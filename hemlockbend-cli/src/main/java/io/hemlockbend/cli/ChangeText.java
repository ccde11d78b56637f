package io.hemlockbend.cli;

import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Move;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;

/** Describes changes in the wording of the commands, for tables. */
final class ChangeText {
  private static final double PERMILLE_PER_PERCENT = Move.FULL_SHARE_PERMILLE / 100.0;

  private ChangeText() {}

  /** Returns the changes, separated by semicolons. */
  static String of(List<Change> changes) {
    return changes.stream().map(ChangeText::of).collect(Collectors.joining("; "));
  }

  private static String of(Change change) {
    return switch (change) {
      case Change.PutRoute put ->
          "route %s: %s to %s"
              .formatted(put.route().name(), put.route().pathPrefix(), put.route().service());
      case Change.RemoveRoute remove -> "remove route " + remove.route();
      case Change.AddVersion add -> "version " + add.key();
      case Change.RemoveVersion remove -> "remove version " + remove.key();
      case Change.StartMove start ->
          "move %s to %s by %s"
              .formatted(start.service(), start.to(), Instant.ofEpochMilli(start.deadlineMillis()));
      case Change.AdvanceMove advance ->
          "%s: %s %% to %s"
              .formatted(advance.service(), percent(advance.sharePermille()), advance.to());
      case Change.TakeBack back ->
          "take back " + back.key() + (back.replacement() == null ? "" : ", " + replacement(back));
      case Change.Withdraw withdraw -> "withdraw " + withdraw.domain();
      case Change.Restore restore ->
          "restore %s over %s".formatted(restore.domain(), Duration.ofMillis(restore.rampMillis()));
      case Change.FinishRestore finish -> finish.domain() + " is fully restored";
    };
  }

  private static String replacement(Change.TakeBack back) {
    return back.replacement() + " takes its place";
  }

  private static String percent(int permille) {
    double percent = permille / PERMILLE_PER_PERCENT;
    return percent == Math.rint(percent)
        ? Long.toString(Math.round(percent))
        : Double.toString(percent);
  }
}
