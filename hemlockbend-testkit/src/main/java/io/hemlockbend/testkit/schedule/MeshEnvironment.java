package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.distribution.DistributionEffect;
import io.hemlockbend.core.distribution.DistributionSettings;
import io.hemlockbend.core.model.ConfigurationDigester;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;

/**
 * What the nodes of a run share.
 *
 * @param queue virtual time
 * @param channel carries messages
 * @param table the platform
 * @param log takes what happens
 * @param meter measures costs
 * @param digester computes digests
 * @param settings bounds of the distribution
 * @param effects changes what the core wants done, to break it; the identity in a true run
 * @param steps is told of each step of each node
 */
record MeshEnvironment(
    EventQueue queue,
    MessageChannel channel,
    MeshTable table,
    RunLog log,
    MeshMeter meter,
    ConfigurationDigester digester,
    DistributionSettings settings,
    BiFunction<MeshNode, List<DistributionEffect>, List<DistributionEffect>> effects,
    BiConsumer<Step, MeshNode> steps) {

  void step(Step step, MeshNode node) {
    steps.accept(step, node);
  }
}
