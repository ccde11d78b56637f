package io.hemlockbend.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.api.UpstreamId;
import io.hemlockbend.core.message.PeerMessage.Suspicion;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class QuarantineListProperties {

  @Property(tries = 300, seed = "20261204")
  void mergeIsCommutativeAssociativeAndIdempotent(
      @ForAll("reports") List<Suspicion> reports, @ForAll Random random) {
    List<Suspicion> shuffled = new ArrayList<>(reports);
    shuffled.addAll(reports);
    Collections.shuffle(shuffled, random);
    int cut = shuffled.size() / 3;
    QuarantineList left = merged(shuffled.subList(0, cut));
    left.merge(merged(shuffled.subList(cut, shuffled.size())).reports(), 0);
    assertThat(left.reports()).isEqualTo(merged(reports).reports());
  }

  @Property(tries = 300, seed = "20261204")
  void mergeReturnsOnlyChangedReports(@ForAll("reports") List<Suspicion> reports) {
    QuarantineList list = merged(reports);
    assertThat(list.merge(reports, 0)).isEmpty();
    assertThat(list.merge(list.reports(), 0)).isEmpty();
  }

  @Property(tries = 300, seed = "20261204")
  void quarantinesOnlyWithoutAnotherPossibleCause(@ForAll("reports") List<Suspicion> reports) {
    QuarantineList list = merged(reports);
    List<Suspicion> all = list.reports();
    for (Suspicion one : all) {
      CrashCounts counts = CrashCounts.of(one);
      List<CrashCounts> others =
          all.stream()
              .filter(other -> !other.request().equals(one.request()))
              .map(CrashCounts::of)
              .toList();
      boolean explained =
          counts.total() > 2
              ? others.stream().anyMatch(counts::explainedBy)
              : others.stream().anyMatch(o -> o.total() >= 2 && counts.sharesWith(o));
      boolean refused = list.standing(one.request(), 0) == Standing.QUARANTINED;
      assertThat(refused).isEqualTo(one.upstreams().size() >= 2 && !explained);
    }
  }

  @Provide
  Arbitrary<List<Suspicion>> reports() {
    Arbitrary<RequestId> request = Arbitraries.of("a", "b", "c").map(RequestId::new);
    Arbitrary<List<UpstreamId>> upstreams =
        Arbitraries.of("u1", "u2", "u3").map(UpstreamId::new).list().ofMinSize(1).ofMaxSize(3);
    Arbitrary<Long> until = Arbitraries.longs().between(1, 5);
    return Combinators.combine(request, upstreams, until).as(Suspicion::new).list().ofMaxSize(12);
  }

  private static QuarantineList merged(List<Suspicion> reports) {
    QuarantineList list = new QuarantineList();
    list.merge(reports, 0);
    return list;
  }
}
