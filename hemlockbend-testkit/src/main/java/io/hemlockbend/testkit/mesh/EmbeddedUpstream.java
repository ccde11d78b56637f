package io.hemlockbend.testkit.mesh;

import io.hemlockbend.node.Node;
import io.hemlockbend.node.settings.NodeSettings;
import io.hemlockbend.node.settings.Setting;
import io.hemlockbend.node.settings.SettingsException;
import io.hemlockbend.testkit.upstream.RunLedger;
import io.hemlockbend.testkit.upstream.UpstreamServer;
import io.hemlockbend.testkit.upstream.UpstreamSettings;
import java.net.URI;
import java.util.EnumMap;
import java.util.Map;

/** A stand-in upstream and the node beside it. */
public final class EmbeddedUpstream implements AutoCloseable {
  private static final String ANY_PORT = "0";

  private final UpstreamSpec spec;
  private final RunLedger ledger;
  private Node node;
  private UpstreamServer server;

  private EmbeddedUpstream(UpstreamSpec spec, RunLedger ledger, Node node, UpstreamServer server) {
    this.spec = spec;
    this.ledger = ledger;
    this.node = node;
    this.server = server;
  }

  /**
   * Starts the node, then the upstream.
   *
   * @param spec the upstream
   * @param platform the platform's URI
   * @param seeds control addresses to join through, in the format of the node's setting
   * @param tokens operators' tokens, in the format of the node's setting
   */
  static EmbeddedUpstream start(UpstreamSpec spec, URI platform, String seeds, String tokens) {
    RunLedger ledger = new RunLedger();
    Node node = Node.start(settings(spec, platform, seeds, tokens));
    return new EmbeddedUpstream(spec, ledger, node, startUpstream(spec, ledger, node));
  }

  private static UpstreamServer startUpstream(UpstreamSpec spec, RunLedger ledger, Node node) {
    UpstreamSettings settings =
        UpstreamSettings.basic(spec.name(), spec.service(), spec.version())
            .withServiceMillis(spec.serviceMillis())
            .withLimits(spec.slots(), new UpstreamSettings.ColdLimit(spec.slots(), 0))
            .withAnnounceUri(URI.create("http://127.0.0.1:" + node.adminPort()));
    return new UpstreamServer(settings, ledger);
  }

  private static NodeSettings settings(
      UpstreamSpec spec, URI platform, String seeds, String tokens) {
    Map<Setting, String> values = new EnumMap<>(Setting.class);
    values.put(Setting.NODE_ID, "node-" + spec.name());
    values.put(Setting.FAILURE_DOMAIN, spec.domain());
    values.put(Setting.CALLER_PORT, ANY_PORT);
    values.put(Setting.MESH_PORT, ANY_PORT);
    values.put(Setting.CONTROL_PORT, ANY_PORT);
    values.put(Setting.ADMIN_PORT, ANY_PORT);
    values.put(Setting.PLATFORM_URI, platform.toString());
    values.put(Setting.SEEDS, seeds);
    values.put(Setting.TOKENS, tokens);
    values.put(Setting.TRAFFIC_THREADS, "16");
    try {
      return NodeSettings.read(values);
    } catch (SettingsException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Returns the spec that it was started from. */
  public UpstreamSpec spec() {
    return spec;
  }

  /** Returns the node. */
  public Node node() {
    return node;
  }

  /** Returns the upstream. */
  public UpstreamServer upstream() {
    return server;
  }

  /** Returns the ledger of the requests that the upstream ran; it survives restarts. */
  public RunLedger ledger() {
    return ledger;
  }

  /** Crashes the upstream and starts it again; the node keeps running. */
  public void restartUpstream() {
    server.crash();
    server = startUpstream(spec, ledger, node);
  }

  @Override
  public void close() {
    server.close();
    node.close();
  }
}
