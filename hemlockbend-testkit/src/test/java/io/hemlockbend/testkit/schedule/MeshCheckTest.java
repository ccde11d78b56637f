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

/** Shows that each check finds the run that breaks its line. */
class MeshCheckTest {
  private static final String BROKEN_NODE = "node-0002";

  /** Runs a mesh in which one node's applies are changed, and returns what the checks found. */
  private static List<String> found(UnaryOperator<Stream<Apply>> breakage) {
    return FaultMatrix.run(
            List.of(),
            DistributionSettings.DEFAULT,
            (node, effects) ->
                node.id().value().equals(BROKEN_NODE)
                    ? effects.stream().flatMap(effect -> broken(effect, breakage)).toList()
                    : effects,
            7)
        .violations();
  }

  private static Stream<DistributionEffect> broken(
      DistributionEffect effect, UnaryOperator<Stream<Apply>> breakage) {
    return effect instanceof Apply apply
        ? breakage.apply(Stream.of(apply)).map(DistributionEffect.class::cast)
        : Stream.of(effect);
  }

  @Test
  void trueRunHasNoViolation() {
    assertThat(found(applies -> applies)).isEmpty();
  }

  @Test
  void lateOlderVersionThatIsAppliedIsFound() {
    List<Apply> before = new ArrayList<>();
    assertThat(
            found(
                applies ->
                    applies.flatMap(
                        apply -> {
                          before.add(apply);
                          return Stream.of(apply, before.getFirst());
                        })))
        .anyMatch(text -> text.startsWith("Monotone"));
  }

  @Test
  void partOfAConfigurationIsFound() {
    assertThat(found(applies -> applies.map(MeshCheckTest::withoutServices)))
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
    assertThat(found(applies -> applies.map(MeshCheckTest::withOtherDigest)))
        .anyMatch(text -> text.startsWith("OneDigest"));
  }

  private static Apply withoutServices(Apply apply) {
    Configuration whole = apply.configuration();
    return new Apply(
        apply.mark(),
        new Configuration(
            whole.version(),
            new TreeMap<>(),
            whole.versions(),
            whole.routes(),
            whole.moves(),
            whole.domains()));
  }

  private static Apply withOtherDigest(Apply apply) {
    VersionMark other = new VersionMark(apply.mark().version(), new Digest("f".repeat(64)));
    return new Apply(other, apply.configuration());
  }
}
