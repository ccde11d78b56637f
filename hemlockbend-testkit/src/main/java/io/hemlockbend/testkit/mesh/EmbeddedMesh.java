package io.hemlockbend.testkit.mesh;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.testkit.platform.PlatformServer;
import java.net.URI;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Runs a stand-in platform, and stand-in upstreams with a real node beside each, in one process.
 *
 * <p>Example: {@code try (EmbeddedMesh mesh = EmbeddedMesh.start(specs, "", 1)) { ... }}.
 */
public final class EmbeddedMesh implements AutoCloseable {
  private final PlatformServer platform;
  private final List<EmbeddedUpstream> members;

  private EmbeddedMesh(PlatformServer platform, List<EmbeddedUpstream> members) {
    this.platform = platform;
    this.members = List.copyOf(members);
  }

  /**
   * Starts the mesh.
   *
   * @param specs the upstreams
   * @param tokens operators' tokens, in the format of the node's setting
   * @param seed seed of the random generator that selects the platform's lost answers
   */
  public static EmbeddedMesh start(List<UpstreamSpec> specs, String tokens, long seed) {
    PlatformServer platform = PlatformServer.onLoopback(seed);
    List<EmbeddedUpstream> members = new ArrayList<>();
    for (UpstreamSpec spec : specs) {
      String seeds = members.isEmpty() ? "" : seedAddress(members.getFirst());
      members.add(EmbeddedUpstream.start(spec, platform.uri(), seeds, tokens));
    }
    return new EmbeddedMesh(platform, members);
  }

  private static String seedAddress(EmbeddedUpstream member) {
    return "127.0.0.1:" + member.node().controlPort();
  }

  /** Returns the stand-in platform. */
  public PlatformServer platform() {
    return platform;
  }

  /** Returns the upstreams with their nodes, in the order of the specs. */
  public List<EmbeddedUpstream> members() {
    return members;
  }

  /** Returns the base URI at which callers reach a node. */
  public URI entry(int index) {
    return URI.create("http://127.0.0.1:" + members.get(index).node().callerPort());
  }

  /** Returns the base URIs at which callers reach the nodes, in the order of the specs. */
  public List<URI> entries() {
    return members.stream()
        .map(member -> URI.create("http://127.0.0.1:" + member.node().callerPort()))
        .toList();
  }

  /** Returns the newest configuration that any node has in force. */
  public ConfigurationVersion newestInForce() {
    return members.stream()
        .map(member -> member.node().snapshot().inForce().version())
        .max(Comparator.naturalOrder())
        .orElse(ConfigurationVersion.NONE);
  }

  /** Returns whether every node has this version or a newer one in force. */
  public boolean inForceEverywhere(ConfigurationVersion version) {
    return members.stream()
        .noneMatch(member -> version.newerThan(member.node().snapshot().inForce().version()));
  }

  /** Returns whether every node serves and knows every upstream. */
  public boolean settled() {
    return members.stream().allMatch(member -> member.node().ready() && knowsAll(member));
  }

  private boolean knowsAll(EmbeddedUpstream member) {
    long known =
        member.node().snapshot().members().stream()
            .filter(other -> other.endpoint().isPresent())
            .count();
    return known == members.size();
  }

  @Override
  public void close() {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      members.forEach(member -> executor.submit(member::close));
    }
    platform.close();
  }
}
