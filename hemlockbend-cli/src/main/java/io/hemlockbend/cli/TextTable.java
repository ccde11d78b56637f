package io.hemlockbend.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Prints rows in aligned columns. */
final class TextTable {
  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  TextTable(String... header) {
    rows.add(List.of(header));
  }

  TextTable row(Object... cells) {
    rows.add(List.of(cells).stream().map(Object::toString).toList());
    return this;
  }

  void print(PrintWriter out) {
    int[] widths =
        IntStream.range(0, rows.getFirst().size())
            .map(i -> rows.stream().mapToInt(row -> row.get(i).length()).max().orElse(0))
            .toArray();
    rows.forEach(row -> out.println(line(row, widths)));
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length())).append(GAP);
    }
    return line.toString().stripTrailing();
  }
}
