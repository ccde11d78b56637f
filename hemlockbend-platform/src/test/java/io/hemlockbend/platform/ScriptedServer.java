package io.hemlockbend.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.concurrent.atomic.AtomicInteger;

/** Reads complete requests and sends each the same raw answer before closing, or never answers. */
final class ScriptedServer implements AutoCloseable {
  private static final String HEAD_END = "\r\n\r\n";

  private final ServerSocket listener;
  private final String answer;
  private final boolean closesAfterAnswer;
  private final AtomicInteger requests = new AtomicInteger();

  private ScriptedServer(String answer, boolean closesAfterAnswer) throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.answer = answer;
    this.closesAfterAnswer = closesAfterAnswer;
    Thread.ofVirtual().start(this::serve);
  }

  static ScriptedServer answering(String rawAnswer) throws IOException {
    return new ScriptedServer(rawAnswer, true);
  }

  static ScriptedServer answeringJson(int status, String body) throws IOException {
    return answering(
        "HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + HEAD_END + body);
  }

  static ScriptedServer silent() throws IOException {
    return new ScriptedServer("", false);
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + listener.getLocalPort());
  }

  int requests() {
    return requests.get();
  }

  private void serve() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> answer(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void answer(Socket socket) {
    try {
      readRequest(socket.getInputStream());
      requests.incrementAndGet();
      socket.getOutputStream().write(answer.getBytes(ISO_8859_1));
      socket.getOutputStream().flush();
      if (closesAfterAnswer) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void readRequest(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf(HEAD_END) < 0) {
      head.append((char) in.read());
    }
    int start = head.indexOf("Content-Length: ");
    if (start >= 0) {
      int end = head.indexOf("\r\n", start);
      in.readNBytes(Integer.parseInt(head.substring(start + "Content-Length: ".length(), end)));
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
