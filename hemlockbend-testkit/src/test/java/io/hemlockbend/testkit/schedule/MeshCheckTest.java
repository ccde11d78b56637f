package io.hemlockbend.testkit.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.distribution.DistributionEffect;
import io.hemlockbend.core.distribution.DistributionEffect.Apply;
import io.hemlockbend.core.distribution.DistributionSettings;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.model.Configuration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Verifies that each check finds a run that violates its invariant. */
class MeshCheckTest {
  private static final String BROKEN_NODE = "node-0002";

  /** Runs a mesh with the apply effects of one node mutated, and returns the violations found. */
  private static List<String> violations(UnaryOperator<Stream<Apply>> mutation) {
    return FaultMatrix.run(
            List.of(),
            DistributionSettings.DEFAULT,
            (node, effects) ->
                node.id().value().equals(BROKEN_NODE)
                    ? effects.stream().flatMap(effect -> mutated(effect, mutation)).toList()
                    : effects,
            7)
        .violations();
  }

  private static Stream<DistributionEffect> mutated(
      DistributionEffect effect, UnaryOperator<Stream<Apply>> mutation) {
    return effect instanceof Apply apply
        ? mutation.apply(Stream.of(apply)).map(DistributionEffect.class::cast)
        : Stream.of(effect);
  }

  @Test
  void unmodifiedRunHasNoViolation() {
    assertThat(violations(applies -> applies)).isEmpty();
  }

  @Test
  void olderVersionAppliedLateIsFound() {
    List<Apply> before = new ArrayList<>();
    assertThat(
            violations(
                applies ->
                    applies.flatMap(
                        apply -> {
                          before.add(apply);
                          return Stream.of(apply, before.getFirst());
                        })))
        .anyMatch(text -> text.startsWith("Monotone"));
  }

  @Test
  void incompleteConfigurationIsFound() {
    assertThat(violations(applies -> applies.map(MeshCheckTest::withoutServices)))
        .anyMatch(text -> text.startsWith("Whole"))
        .anyMatch(text -> text.startsWith("References") && text.contains("missing service"));
  }

  @Test
  void nodeThatStopsPullingIsFound() {
    List<String> violations =
        FaultMatrix.run(
                List.of(),
                DistributionSettings.DEFAULT,
                (node, effects) ->
                    node.id().value().equals(BROKEN_NODE) && node.serves()
                        ? effects.stream().filter(Apply.class::isInstance).toList()
                        : effects,
                7)
            .violations();
    assertThat(violations).anyMatch(text -> text.startsWith("InForce: " + BROKEN_NODE));
  }

  @Test
  void twoConfigurationsOfOneVersionAreFound() {
    assertThat(violations(applies -> applies.map(MeshCheckTest::withOtherDigest)))
        .anyMatch(text -> text.startsWith("OneDigest"));
  }

  private static Apply withoutServices(Apply apply) {
    Configuration complete = apply.configuration();
    return new Apply(
        apply.mark(),
        new Configuration(
            complete.version(),
            new TreeMap<>(),
            complete.versions(),
            complete.routes(),
            complete.moves(),
            complete.domains()));
  }

  private static Apply withOtherDigest(Apply apply) {
    VersionMark other = new VersionMark(apply.mark().version(), new Digest("f".repeat(64)));
    return new Apply(other, apply.configuration());
  }
}
