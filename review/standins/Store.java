import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: rows, conditional transactions and the feed, linearizable. Each node has a
 * port of its own, so that the store can reject the calls of a single machine.
 */
final class Store implements AutoCloseable {
  private static final long ANSWER_MILLIS = 4;

  /** "at most 500 rows or 1 MB" */
  private static final int MAX_ROWS = 500;

  record Row(String table, String key, String value, long ver, boolean removed) {}

  private final Record record;
  private final Map<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final List<ServerSocket> servers = new ArrayList<>();
  private final boolean[] busy = new boolean[64];
  private long version = 10;

  Store(Record record) {
    this.record = record;
  }

  /** Opens a port; returns it. */
  int open(int index) throws IOException {
    ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    servers.add(server);
    Thread.ofVirtual()
        .start(
            () -> {
              while (true) {
                try {
                  Socket socket = server.accept();
                  socket.setTcpNoDelay(true);
                  Thread.ofVirtual().start(() -> serve(socket, index));
                } catch (IOException e) {
                  return;
                }
              }
            });
    return server.getLocalPort();
  }

  /** Sets whether the store rejects all calls of a machine with 503, not doing anything. */
  synchronized void busy(int index, boolean isBusy) {
    busy[index] = isBusy;
    record.say("store " + (isBusy ? "rejects" : "serves") + " the calls of machine " + index);
  }

  synchronized long put(String table, String key, String value) {
    write(table, key, value, false);
    notifyAll();
    record.say("store: " + table + "/" + key + " written, version " + version);
    return version;
  }

  synchronized void remove(String table, String key) {
    write(table, key, "", true);
    notifyAll();
    record.say("store: " + table + "/" + key + " removed, version " + version);
  }

  /** Returns whether a row of any table has a key. */
  synchronized boolean hasKey(String key) {
    return rows.values().stream().anyMatch(row -> row.key().equals(key));
  }

  /**
   * Adds the rows that the nodes of removed machines left: copies of a live node's row with other
   * names and addresses.
   */
  synchronized void registerRemoved(int count, String zone, String liveIp) {
    Row live = null;
    for (Row row : rows.values()) {
      if (row.value().contains("\"" + liveIp + "\"") && row.value().contains("\"port\"")) {
        live = row;
      }
    }
    if (live == null) {
      throw new IllegalStateException("no row of a live node");
    }
    // The names sort before the live ones and beside that of the machine that was really removed.
    for (int i = 1; i <= count; i++) {
      String ip = "127.9." + (i / 200) + "." + (1 + i % 200);
      write(
          live.table(),
          String.format("sidecar-%s-%03d", zone, i),
          live.value().replace(liveIp, ip).replaceFirst("\"domain\":\"[^\"]*\"", "\"domain\":\"" + zone + "\""),
          false);
    }
    notifyAll();
    record.say("rows of " + count + " removed machines, like " + live.key() + ": " + live.value());
  }

  /** Returns the text of a row, or null. */
  synchronized String value(String table, String key) {
    Row row = rows.get(table + "\n" + key);
    return row == null ? null : row.value();
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket server : servers) {
      server.close();
    }
  }

  private void write(String table, String key, String value, boolean removed) {
    version++;
    put(new Row(table, key, value, version, removed));
  }

  private void put(Row row) {
    if (row.removed()) {
      rows.remove(row.table() + "\n" + row.key());
    } else {
      rows.put(row.table() + "\n" + row.key(), row);
    }
    history.add(row);
  }

  private void serve(Socket socket, int index) {
    try (socket) {
      InputStream in = Http.buffered(socket.getInputStream());
      for (Http call = Http.read(in); call != null; call = Http.read(in)) {
        Thread.sleep(ANSWER_MILLIS);
        int[] status = {200};
        String body = answer(call, index, status);
        Http.write(
            socket.getOutputStream(),
            "HTTP/1.1 " + status[0] + " -\r\nContent-Type: application/json\r\n",
            body.getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException | InterruptedException e) {
      // The node closed the connection.
    }
  }

  private synchronized String answer(Http call, int index, int[] status)
      throws InterruptedException {
    String path = call.target().split("\\?")[0];
    if (busy[index]) {
      record.add("store answers 503 to machine " + index + ": " + call.start());
      status[0] = 503;
      return "{}";
    }
    Map<String, String> query = query(call.target());
    switch (path) {
      case "/v1/rows-get" -> {
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
          String from = query.get("from");
          String to = query.get("to");
          if (row.table().equals(query.get("table"))
              && (from == null || row.key().compareTo(from) >= 0)
              && (to == null || row.key().compareTo(to) < 0)) {
            found.add(row);
          }
        }
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
        boolean truncated = found.size() > limit;
        return rows(truncated ? found.subList(0, limit) : found, truncated);
      }
      case "/v1/rows-feed" -> {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
        while (true) {
          List<Row> changed = new ArrayList<>();
          for (Row row : history) {
            if (row.table().equals(query.get("table")) && row.ver() > after) {
              changed.add(row);
            }
          }
          long left = (until - System.nanoTime()) / 1_000_000;
          if (!changed.isEmpty() || left <= 0) {
            return rows(changed);
          }
          wait(left);
        }
      }
      case "/v1/rows-tx" -> {
        Map<String, Object> tx = Json.object(Json.parse(call.text()));
        for (Object item : Json.list(tx.get("expect"))) {
          Map<String, Object> expect = Json.object(item);
          Row row = rows.get(expect.get("table") + "\n" + expect.get("key"));
          long expected = ((Double) expect.get("ver")).longValue();
          if ((row == null ? 0 : row.ver()) != expected) {
            status[0] = 412;
            record.add("store answers 412 to machine " + index + ": " + call.text());
            return rows(row == null ? List.of() : List.of(row));
          }
        }
        version++;
        for (Object item : Json.list(tx.get("puts"))) {
          Map<String, Object> put = Json.object(item);
          String value =
              new String(
                  Base64.getDecoder().decode((String) put.get("value")), StandardCharsets.UTF_8);
          String table = (String) put.get("table");
          String key = (String) put.get("key");
          put(new Row(table, key, value, version, false));
          record.add("machine " + index + " writes " + table + "/" + key + ": " + value);
        }
        for (Object item : Json.list(tx.get("remove"))) {
          Map<String, Object> removal = Json.object(item);
          put(
              new Row(
                  (String) removal.get("table"), (String) removal.get("key"), "", version, true));
        }
        notifyAll();
        return rows(List.of());
      }
      default -> {
        status[0] = 404;
        return "{}";
      }
    }
  }

  private String rows(List<Row> selected) {
    return rows(selected, false);
  }

  private String rows(List<Row> selected, boolean truncated) {
    StringBuilder json = new StringBuilder("{\"rows\":[");
    for (Row row : selected) {
      json.append(json.length() > 9 ? "," : "");
      json.append(
          String.format(
              "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"ver\":%d,",
              row.table(), row.key(), row.ver()));
      json.append(
          row.removed()
              ? "\"removed\":true}"
              : "\"value\":\""
                  + Base64.getEncoder()
                      .encodeToString(row.value().getBytes(StandardCharsets.UTF_8))
                  + "\"}");
    }
    json.append("],\"truncated\":").append(truncated).append(",\"ver\":").append(version);
    return json.append(",\"now-ms\":").append(System.nanoTime() / 1_000_000).append("}").toString();
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int start = target.indexOf('?');
    if (start >= 0) {
      for (String pair : target.substring(start + 1).split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
