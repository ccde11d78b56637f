package io.hemlockbend.testkit.schedule;

import java.util.List;
import java.util.Locale;

/**
 * Measurements of one distribution method at one mesh size.
 *
 * @param method the name of the distribution method
 * @param nodes the number of nodes
 * @param phase idle, churning or changing
 * @param convergence milliseconds from acceptance to application, for each node and change, sorted
 * @param missing number of pairs of node and change that were never applied
 * @param bytesPerNodeSecond bytes sent per node and second; the same number is received
 * @param readsPerSecond table reads of the whole mesh
 * @param writesPerSecond table writes of the whole mesh
 * @param corePercent processor time of the core's calls per node, in percent of one processor
 */
record BenchRow(
    String method,
    int nodes,
    String phase,
    List<Long> convergence,
    long missing,
    double bytesPerNodeSecond,
    double readsPerSecond,
    double writesPerSecond,
    double corePercent) {
  static final String CSV_HEADER =
      "way,nodes,phase,p50_ms,p99_ms,max_ms,samples,missing,"
          + "bytes_out_per_node_s,reads_per_s,writes_per_s,core_percent";
  static final String TABLE_HEADER =
      "| nodes | way | phase | p50 ms | p99 ms | max ms | samples | missing | bytes out/node/s |"
          + " reads/s | writes/s | core % |\n"
          + "|---|---|---|---|---|---|---|---|---|---|---|---|";

  private long quantile(double share) {
    if (convergence.isEmpty()) {
      return -1;
    }
    int index = (int) Math.ceil(share * convergence.size()) - 1;
    return convergence.get(Math.max(0, index));
  }

  String csv() {
    return String.format(
        Locale.ROOT,
        "%s,%d,%s,%d,%d,%d,%d,%d,%.1f,%.2f,%.3f,%.4f",
        method,
        nodes,
        phase,
        quantile(0.5),
        quantile(0.99),
        quantile(1),
        convergence.size(),
        missing,
        bytesPerNodeSecond,
        readsPerSecond,
        writesPerSecond,
        corePercent);
  }

  String table() {
    String[] fields = csv().split(",");
    String method = fields[0];
    fields[0] = fields[1];
    fields[1] = method;
    return "| " + String.join(" | ", fields).replace("-1", "-") + " |";
  }

  /** Compares this row with another; each figure is a ratio of this value to the other. */
  String ratio(BenchRow other) {
    String costs =
        String.format(
            Locale.ROOT,
            "%d nodes, %s: bytes %.3f, reads %.4f",
            nodes,
            phase,
            bytesPerNodeSecond / other.bytesPerNodeSecond(),
            readsPerSecond / other.readsPerSecond());
    if (convergence.isEmpty()) {
      return costs;
    }
    double p99Ratio = (double) quantile(0.99) / other.quantile(0.99);
    double coreRatio = corePercent / other.corePercent();
    return costs + String.format(Locale.ROOT, ", p99 %.3f, core %.2f", p99Ratio, coreRatio);
  }
}
