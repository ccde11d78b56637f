package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.RowValue;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * In-memory platform with the rows and objects that the distribution reads; simulates outages and
 * lost answers.
 */
final class MeshTable {
  /** Availability of the platform. */
  enum State {
    /** Calls are answered with the normal delay. */
    UP,
    /** Calls take seconds. */
    SLOW,
    /** Reads fail, and writes have no effect and no answer. */
    DOWN,
    /** Calls take effect, but no answer arrives. */
    ANSWERS_LOST
  }

  private static final long ANSWER_MICROS = 2_000;
  private static final long SLOW_MICROS = 2_500_000;
  private static final long ERROR_MICROS = 50_000;

  private final EventQueue queue;
  private final RunLog log;
  private final TreeMap<Long, RowValue.History> history = new TreeMap<>();
  private final Map<Digest, Configuration> objects = new HashMap<>();
  private Optional<RowValue.Current> current = Optional.empty();
  private State state = State.UP;
  private long reads;
  private long writes;

  MeshTable(EventQueue queue, RunLog log) {
    this.queue = queue;
    this.log = log;
  }

  void state(State next) {
    state = next;
  }

  Optional<RowValue.Current> current() {
    return current;
  }

  Configuration object(Digest digest) {
    return objects.get(digest);
  }

  long reads() {
    return reads;
  }

  long writes() {
    return writes;
  }

  void readCurrent(Consumer<Optional<RowValue.Current>> answer, Runnable failure) {
    read(() -> current, answer, failure);
  }

  void readHistory(
      ConfigurationVersion after,
      ConfigurationVersion last,
      Consumer<List<RowValue.History>> answer,
      Runnable failure) {
    read(
        () -> List.copyOf(history.subMap(after.value(), false, last.value(), true).values()),
        answer,
        failure);
  }

  void fetch(Digest digest, Consumer<Optional<Configuration>> answer, Runnable failure) {
    read(() -> Optional.ofNullable(objects.get(digest)), answer, failure);
  }

  /** Accepts a configuration if its version directly follows the current one; ignored otherwise. */
  void commit(
      VersionMark mark, Configuration configuration, List<Change> changes, Runnable accepted) {
    writes++;
    if (state == State.DOWN) {
      return;
    }
    boolean answered = state != State.ANSWERS_LOST;
    queue.after(
        delayMicros(),
        () -> {
          if (write(mark, configuration, changes) && answered) {
            queue.after(delayMicros(), accepted);
          }
        });
  }

  private boolean write(VersionMark mark, Configuration configuration, List<Change> changes) {
    long before = current.map(row -> row.version().value()).orElse(0L);
    if (mark.version().value() != before + 1) {
      return false;
    }
    CommitId commit = new CommitId("commit-" + mark.version());
    current = Optional.of(new RowValue.Current(mark.version(), mark.digest(), commit));
    history.put(
        mark.version().value(),
        new RowValue.History(
            mark.version(), mark.digest(), commit, "operator", queue.millis(), changes));
    objects.put(mark.digest(), configuration);
    log.noteAccepted(mark, queue.millis());
    return true;
  }

  private <T> void read(Supplier<T> rows, Consumer<T> answer, Runnable failure) {
    reads++;
    if (state == State.DOWN) {
      queue.after(ERROR_MICROS, failure);
      return;
    }
    boolean answered = state != State.ANSWERS_LOST;
    queue.after(
        delayMicros() / 2,
        () -> {
          T result = rows.get();
          if (answered) {
            queue.after(delayMicros() / 2, () -> answer.accept(result));
          }
        });
  }

  private long delayMicros() {
    return state == State.SLOW ? SLOW_MICROS : ANSWER_MICROS;
  }
}
