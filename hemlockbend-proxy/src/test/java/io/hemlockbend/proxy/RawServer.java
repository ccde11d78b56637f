package io.hemlockbend.proxy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that handles each connection by a script, on a thread of its own. */
public final class RawServer implements AutoCloseable {
  /** Handles one connection. */
  @FunctionalInterface
  public interface Script {
    /** Reads from and writes to a connection; it is closed afterwards. */
    void handle(Socket socket) throws IOException;
  }

  private final ServerSocket listener;
  private final Script script;
  private final AtomicInteger accepted = new AtomicInteger();

  /** Starts a server on a free port of the loopback. */
  public RawServer(Script script) {
    this.script = script;
    try {
      listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Thread.ofVirtual().start(this::accept);
  }

  public InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
  }

  public int accepted() {
    return accepted.get();
  }

  /** Reads the head of a request without a body; returns its id, or null at the end. */
  public static String readRequestId(Socket socket) throws IOException {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), 1);
    String id = null;
    boolean any = false;
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      any = true;
      if (line.isEmpty()) {
        return id == null ? "" : id;
      }
      if (line.startsWith("Id: ")) {
        id = line.substring("Id: ".length());
      }
    }
    return any ? id : null;
  }

  /** A request whose body was read. */
  public record Request(String id, int bodyBytes) {}

  /** Reads a request with its body, byte by byte in the head; returns null at the end. */
  public static Request readRequest(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      head.append((char) next);
    }
    int length = 0;
    String id = "";
    for (String line : head.toString().split("\r\n")) {
      if (line.startsWith("Id: ")) {
        id = line.substring("Id: ".length());
      } else if (line.startsWith("Content-Length: ")) {
        length = Integer.parseInt(line.substring("Content-Length: ".length()));
      }
    }
    int read = in.readNBytes(length).length;
    return read < length ? null : new Request(id, length);
  }

  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        accepted.incrementAndGet();
        Thread.ofVirtual().start(() -> handle(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void handle(Socket socket) {
    try (socket) {
      script.handle(socket);
    } catch (IOException e) {
      // The other side closed first, which a script need not expect.
      return;
    }
  }
}
