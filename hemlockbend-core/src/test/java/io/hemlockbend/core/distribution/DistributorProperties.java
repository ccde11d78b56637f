package io.hemlockbend.core.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.CommitId;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.distribution.DistributionEffect.Apply;
import io.hemlockbend.core.message.PeerMessage;
import io.hemlockbend.core.message.PeerMessage.VersionMark;
import io.hemlockbend.core.table.RowValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** For any sequence of inputs, versions only increase and every applied configuration verifies. */
class DistributorProperties {
  private static final int VERSIONS = 5;

  /** An input: the method called, a version, and a base version or peer. */
  record Input(int operation, int version, int other) {}

  @Provide
  Arbitrary<List<Input>> inputs() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 6),
            Arbitraries.integers().between(1, VERSIONS),
            Arbitraries.integers().between(0, VERSIONS))
        .as(Input::new)
        .list()
        .ofMaxSize(40);
  }

  @Property(seed = "4022")
  void appliedVersionsIncreaseAndVerify(@ForAll("inputs") List<Input> inputs) {
    Distributor distributor =
        new Distributor(
            DistributionFixtures.id(0),
            new FailureDomain("d"),
            DistributionSettings.DEFAULT,
            DistributionFixtures.DIGESTER,
            new SplittableRandom(1));
    distributor.members(
        List.of(
            DistributionFixtures.member(1, MemberStatus.ALIVE),
            DistributionFixtures.member(2, MemberStatus.ALIVE)),
        0);
    List<Apply> applied = new ArrayList<>();
    long now = 0;
    for (Input input : inputs) {
      now += 300;
      List<DistributionEffect> effects = new ArrayList<>(feed(distributor, input, now));
      effects.addAll(distributor.tick(now));
      effects.stream().filter(Apply.class::isInstance).map(Apply.class::cast).forEach(applied::add);
    }
    for (int index = 0; index < applied.size(); index++) {
      Apply apply = applied.get(index);
      assertThat(DistributionFixtures.DIGESTER.digest(apply.configuration()))
          .isEqualTo(apply.mark().digest());
      assertThat(ReferenceCheck.faults(apply.configuration())).isEmpty();
      assertThat(index == 0 || apply.mark().newerThan(applied.get(index - 1).mark())).isTrue();
    }
  }

  private static List<DistributionEffect> feed(Distributor distributor, Input input, long now) {
    int version = input.version();
    VersionMark mark = DistributionFixtures.mark(version);
    var peer = DistributionFixtures.id(1 + input.other() % 2);
    return switch (input.operation()) {
      case 0 ->
          distributor.receive(
              new PeerMessage.Body(peer, mark, DistributionFixtures.configuration(version)), now);
      case 1 ->
          distributor.receive(
              new PeerMessage.Delta(
                  peer,
                  DistributionFixtures.mark(input.other()),
                  mark,
                  DistributionFixtures.steps(input.other(), version)),
              now);
      case 2 -> distributor.receive(new PeerMessage.Announcement(peer, mark), now);
      case 3 ->
          distributor.currentRead(
              Optional.of(new RowValue.Current(mark.version(), mark.digest(), new CommitId("c"))),
              now);
      case 4 ->
          distributor.receive(
              new PeerMessage.Body(peer, mark, DistributionFixtures.configuration(input.other())),
              now);
      case 5 -> distributor.currentUnavailable(now);
      default ->
          distributor.bodyFetched(mark.digest(), DistributionFixtures.configuration(version), now);
    };
  }
}
