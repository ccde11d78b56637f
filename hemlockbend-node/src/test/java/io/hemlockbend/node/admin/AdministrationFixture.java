package io.hemlockbend.node.admin;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.JsonDigester;
import io.hemlockbend.core.acceptance.CommitPlanner;
import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.DecisionKind;
import io.hemlockbend.core.api.DecisionRecord;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.validation.ConfigurationChecker;
import io.hemlockbend.node.commit.CommitRunner;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;

/** Runs the handler on a real listener with an in-memory platform and mesh. */
final class AdministrationFixture implements AutoCloseable, MeshView {
  static final String TEAM = "tableaux-operator-token";
  static final String OTHER = "cermin-operator-token";
  static final String READER = "tableaux-reader-token";
  static final String PLATFORM = "platform-operator-token";
  static final String TOKENS =
      "%s=operator:tableaux:amel,%s=operator:cermin:lim,%s=reader:tableaux,%s=operator:*:root"
          .formatted(TEAM, OTHER, READER, PLATFORM);
  static final long NOW_MILLIS = 1_000_000;
  private static final long BODY_TIMEOUT_MILLIS = 200;

  final FakePlatform platform = new FakePlatform();
  private final JsonCodec codec = new JsonCodec();
  private final JsonDigester digester = new JsonDigester(codec);
  private final HttpClient client = HttpClient.newHttpClient();
  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server);
  private volatile Configuration configuration = Configuration.EMPTY;

  /** A response with its undecoded body. */
  record Reply(int status, byte[] body) {}

  AdministrationFixture() throws Exception {
    Clock clock = () -> NOW_MILLIS;
    CommitRunner runner =
        new CommitRunner(
            new CommitPlanner(ConfigurationChecker.forAcceptance(), digester),
            platform,
            platform,
            (mark, accepted, changes) -> configuration = accepted);
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(
        new AdministrationHandler(
            new AdministrationService(platform, runner::run, this, clock),
            TokenAuthenticator.of(TOKENS),
            platform,
            new NodeId("node-1"),
            clock,
            codec,
            BODY_TIMEOUT_MILLIS));
    server.start();
  }

  int port() {
    return connector.getLocalPort();
  }

  Reply get(String token, String path) {
    return send(request(token, path).GET().build());
  }

  Reply post(String token, String path, Object body) {
    return postBytes(token, path, codec.encode(body));
  }

  Reply postBytes(String token, String path, byte[] body) {
    return send(request(token, path).POST(HttpRequest.BodyPublishers.ofByteArray(body)).build());
  }

  HttpRequest.Builder request(String token, String path) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + path));
    return token == null ? builder : builder.header("Authorization", "Bearer " + token);
  }

  Reply send(HttpRequest request) {
    try {
      HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  <T> T ok(Reply reply, Class<T> type) {
    if (reply.status() != 200) {
      throw new AssertionError(reply.status() + " " + new String(reply.body()));
    }
    return codec.decode(reply.body(), type);
  }

  Problem problem(Reply reply) {
    return codec.decode(reply.body(), Problem.class);
  }

  @Override
  public VersionMark inForce() {
    return new VersionMark(configuration.version(), digester.digest(configuration));
  }

  @Override
  public Configuration configuration() {
    return configuration;
  }

  @Override
  public Collection<Member> members() {
    return List.of();
  }

  @Override
  public List<DecisionRecord> decisions(RequestId request) {
    return List.of(
        new DecisionRecord(
            NOW_MILLIS,
            DecisionKind.ROUTE,
            Optional.of(request),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            true,
            "no route"));
  }

  @Override
  public void close() {
    client.close();
    LifeCycle.stop(server);
  }
}
