package io.hemlockbend.testkit.schedule;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.JsonDigester;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.distribution.DistributionEffect;
import io.hemlockbend.core.distribution.DistributionSettings;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.model.ConfigurationDigester;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;

/** A mesh of nodes that run the real core under one virtual clock, with fault injection. */
final class ScheduledMesh {
  private static final int SEEDS = 3;
  private static final long FREEZE_MILLIS = 6_000;
  private static final long RESTART_MILLIS = 300;

  /**
   * Parameters of a run.
   *
   * @param layout number and placement of the nodes
   * @param conditions network conditions
   * @param settings limits of the distribution
   * @param services number of services in the configuration
   * @param keepsConfigurations whether the log keeps the applied configurations
   * @param seed seed of the random generator
   */
  record Options(
      MeshLayout layout,
      MessageChannel.Conditions conditions,
      DistributionSettings settings,
      int services,
      boolean keepsConfigurations,
      long seed) {}

  private final EventQueue queue = new EventQueue();
  private final RunLog log;
  private final MeshTable table;
  private final ConfigurationDigester digester = new JsonDigester(new JsonCodec());
  private final RandomGenerator random;
  private final MessageChannel channel;
  private final MeshMeter meter;
  private final ChangeGenerator changes;
  private final List<MeshNode> nodes = new ArrayList<>();
  private final Set<MeshNode> left = new HashSet<>();

  ScheduledMesh(
      Options options,
      BiFunction<MeshNode, List<DistributionEffect>, List<DistributionEffect>> effects,
      BiConsumer<Step, MeshNode> steps) {
    random = new SplittableRandom(options.seed());
    log = new RunLog(options.keepsConfigurations());
    table = new MeshTable(queue, log);
    channel = new MessageChannel(queue, random, options.conditions());
    meter = new MeshMeter();
    changes = new ChangeGenerator(options.services());
    MeshEnvironment environment =
        new MeshEnvironment(
            queue, channel, table, log, meter, digester, options.settings(), effects, steps);
    for (int index = 0; index < options.layout().nodes(); index++) {
      RandomGenerator nodeRandom = new SplittableRandom(random.nextLong());
      MeshNode node = new MeshNode(options.layout().site(index), environment, nodeRandom);
      nodes.add(node);
      channel.connect(node);
    }
  }

  EventQueue queue() {
    return queue;
  }

  RunLog log() {
    return log;
  }

  MeshTable table() {
    return table;
  }

  MeshMeter meter() {
    return meter;
  }

  List<MeshNode> nodes() {
    return nodes;
  }

  ConfigurationDigester digester() {
    return digester;
  }

  List<NodeAddress> seeds() {
    return nodes.stream().limit(SEEDS).map(MeshNode::address).toList();
  }

  void start(MeshNode node) {
    node.start(seeds());
  }

  /** Commits the next change through a random node that serves. */
  void commit() {
    anyServing().ifPresent(this::commitThrough);
  }

  /** Commits the next change through this node. */
  void commitThrough(MeshNode node) {
    Configuration base = node.configuration();
    boolean empty = base.services().isEmpty();
    List<Change> next = empty ? changes.initial() : changes.next();
    node.commit(next, ChangeApplier.apply(base, next));
  }

  /** Partitions the node's failure domain from the others and from the platform. */
  void isolateDomain(MeshNode node) {
    channel.isolate(domainOf(node));
  }

  void healPartitions() {
    channel.heal();
  }

  Optional<MeshNode> anyServing() {
    List<MeshNode> serving = nodes.stream().filter(MeshNode::serves).toList();
    return serving.isEmpty()
        ? Optional.empty()
        : Optional.of(serving.get(random.nextInt(serving.size())));
  }

  void leave(MeshNode node) {
    left.add(node);
    node.leave();
  }

  /** Injects a fault at a node. */
  void inject(Fault fault, MeshNode node) {
    Runnable effect =
        switch (fault) {
          case KILL -> node::kill;
          case FREEZE -> () -> freeze(node);
          case CUT -> () -> channel.partition(domainOf(node));
          case PLATFORM_DOWN -> () -> table.state(MeshTable.State.DOWN);
          case PLATFORM_SLOW -> () -> table.state(MeshTable.State.SLOW);
          case ANSWER_LOST -> () -> table.state(MeshTable.State.ANSWERS_LOST);
          case RESTART -> () -> restart(List.of(node));
          case HERD_RESTART -> () -> restart(nodes);
        };
    effect.run();
  }

  private void freeze(MeshNode node) {
    node.freeze();
    queue.afterMillis(FREEZE_MILLIS, node::thaw);
  }

  private void restart(List<MeshNode> affected) {
    List<MeshNode> running = affected.stream().filter(MeshNode::up).toList();
    running.forEach(MeshNode::kill);
    running.forEach(node -> queue.afterMillis(RESTART_MILLIS, () -> startUnlessLeft(node)));
  }

  private void startUnlessLeft(MeshNode node) {
    if (!left.contains(node)) {
      start(node);
    }
  }

  private Set<MeshNode> domainOf(MeshNode node) {
    Set<MeshNode> domain = new HashSet<>();
    nodes.stream().filter(other -> other.domain().equals(node.domain())).forEach(domain::add);
    return domain;
  }

  /** Ends all faults: heals partitions, restores the platform, thaws and restarts nodes. */
  void endFaults() {
    channel.heal();
    table.state(MeshTable.State.UP);
    nodes.forEach(MeshNode::thaw);
    nodes.stream().filter(node -> !node.up()).forEach(this::startUnlessLeft);
    log.noteFaultsEnded(queue.millis());
  }

  /** Records what each serving node has in force. */
  void observe() {
    for (MeshNode node : nodes) {
      if (node.serves()) {
        log.noteServing(node.id(), node.mark(), queue.millis());
      }
    }
  }
}
