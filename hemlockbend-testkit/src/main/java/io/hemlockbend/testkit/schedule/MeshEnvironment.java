package io.hemlockbend.testkit.schedule;

import io.hemlockbend.core.distribution.DistributionEffect;
import io.hemlockbend.core.distribution.DistributionSettings;
import io.hemlockbend.core.model.ConfigurationDigester;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;

/**
 * State shared by the nodes of a run.
 *
 * @param queue the event queue and virtual clock
 * @param channel the simulated network
 * @param table the simulated platform
 * @param log records events for the checks
 * @param meter measures costs
 * @param digester computes digests
 * @param settings limits of the distribution
 * @param effectFilter rewrites the effects of the core to simulate a broken one; the identity
 *     otherwise
 * @param stepListener called at each step of each node
 */
record MeshEnvironment(
    EventQueue queue,
    MessageChannel channel,
    MeshTable table,
    RunLog log,
    MeshMeter meter,
    ConfigurationDigester digester,
    DistributionSettings settings,
    BiFunction<MeshNode, List<DistributionEffect>, List<DistributionEffect>> effectFilter,
    BiConsumer<Step, MeshNode> stepListener) {

  void step(Step step, MeshNode node) {
    stepListener.accept(step, node);
  }
}
