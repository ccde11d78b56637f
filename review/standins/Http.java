import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP/1.1 message whose body has a length.
 *
 * @param start the start line
 * @param fields the header fields, names in lower case
 * @param body the body
 */
record Http(String start, Map<String, String> fields, byte[] body) {
  static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 65536);
  }

  /** Reads a message; returns null if the peer closed the connection before its first byte. */
  static Http read(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    int matched = 0;
    while (matched < 4) {
      int next = in.read();
      if (next < 0) {
        if (head.isEmpty()) {
          return null;
        }
        throw new EOFException("head cut off");
      }
      head.append((char) next);
      matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
    }
    String[] lines = head.toString().split("\r\n");
    Map<String, String> fields = new HashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      fields.put(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).trim());
    }
    int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("body cut off");
    }
    return new Http(lines[0], fields, body);
  }

  String field(String name) {
    return fields.get(name.toLowerCase(Locale.ROOT));
  }

  int status() {
    return Integer.parseInt(start.split(" ")[1]);
  }

  String method() {
    return start.split(" ")[0];
  }

  String target() {
    return start.split(" ")[1];
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  static void write(OutputStream out, String head, byte[] body) throws IOException {
    byte[] first =
        (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[first.length + body.length];
    System.arraycopy(first, 0, all, 0, first.length);
    System.arraycopy(body, 0, all, first.length, body.length);
    out.write(all);
    out.flush();
  }
}
