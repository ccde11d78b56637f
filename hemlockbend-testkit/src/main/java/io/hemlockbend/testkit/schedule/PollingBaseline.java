package io.hemlockbend.testkit.schedule;

import io.hemlockbend.codec.MessagePackCodec;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.ConfigurationDigester;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Baseline distribution method: every node polls the table once per second and fetches the whole
 * configuration when it has changed. It shares virtual time and the configurations with the mesh
 * that it is compared with, and counts its own reads, bytes and processor time.
 */
final class PollingBaseline {
  private static final long POLL_MILLIS = 1_000;
  private static final long ANSWER_MICROS = 2_000;

  private final EventQueue queue;
  private final MeshTable table;
  private final ConfigurationDigester digester;
  private final RunLog log = new RunLog(false);
  private final MeshMeter meter = new MeshMeter();
  private final MessagePackCodec codec = new MessagePackCodec();
  private Optional<RowValue.Current> measuredRow = Optional.empty();
  private long rowBytes;
  private long bodyBytes;
  private long reads;
  private long bytes;

  PollingBaseline(EventQueue queue, MeshTable table, ConfigurationDigester digester) {
    this.queue = queue;
    this.table = table;
    this.digester = digester;
  }

  RunLog log() {
    return log;
  }

  long reads() {
    return reads;
  }

  long bytes() {
    return bytes;
  }

  long nanos() {
    return meter.coreNanos();
  }

  void start(List<MeshNode> nodes, RandomGenerator random) {
    for (MeshNode node : nodes) {
      queue.afterMillis(random.nextLong(POLL_MILLIS), () -> poll(node.id(), VersionMark.NONE));
    }
  }

  private void poll(NodeId node, VersionMark held) {
    reads++;
    Optional<RowValue.Current> row = table.current();
    row.ifPresent(this::measure);
    bytes += rowBytes;
    VersionMark mark =
        row.map(current -> new VersionMark(current.version(), current.digest()))
            .orElse(VersionMark.NONE);
    boolean newer = mark.newerThan(held);
    if (newer) {
      queue.after(2 * ANSWER_MICROS, () -> fetched(node, mark));
    }
    queue.afterMillis(POLL_MILLIS, () -> poll(node, newer ? mark : held));
  }

  private void fetched(NodeId node, VersionMark mark) {
    reads++;
    bytes += bodyBytes;
    Configuration configuration = table.object(mark.digest());
    if (meter.timed(() -> digester.digest(configuration).equals(mark.digest()))) {
      log.noteApplied(node, mark, configuration, queue.millis());
    }
  }

  private void measure(RowValue.Current row) {
    if (measuredRow.filter(row::equals).isPresent()) {
      return;
    }
    measuredRow = Optional.of(row);
    rowBytes = codec.encode(RowKey.CURRENT).length + codec.encode(row).length;
    bodyBytes = codec.encode(table.object(row.digest())).length;
  }
}
