package io.hemlockbend.core.membership;

import static io.hemlockbend.core.membership.MemberMerge.merge;
import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.EndpointState;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class MemberMergeProperties {
  private static final String SEED = "4021";

  @Provide
  Arbitrary<Member> claims() {
    return Combinators.combine(
            Arbitraries.longs().between(0, 2),
            Arbitraries.of(MemberStatus.class),
            Arbitraries.longs().between(0, 2),
            Arbitraries.integers().between(0, 2),
            Arbitraries.of(EndpointState.class),
            Arbitraries.integers().between(1, 2))
        .as(MemberMergeProperties::claim);
  }

  private static Member claim(
      long incarnation, MemberStatus status, long applied, int start, EndpointState state, int p) {
    Member base = MemberFixtures.node(1);
    Member moved =
        new Member(
            base.id(),
            base.region(),
            base.domain(),
            new NodeAddress("10.0.0.1", p),
            base.mesh(),
            incarnation,
            status,
            new ConfigurationVersion(applied),
            Optional.empty());
    return start == 0
        ? moved
        : moved.withEndpoint(Optional.of(MemberFixtures.endpoint(start, state)));
  }

  @Property(seed = SEED)
  void commutative(@ForAll("claims") Member a, @ForAll("claims") Member b) {
    assertThat(merge(a, b)).isEqualTo(merge(b, a));
  }

  @Property(seed = SEED)
  void associative(
      @ForAll("claims") Member a, @ForAll("claims") Member b, @ForAll("claims") Member c) {
    assertThat(merge(merge(a, b), c)).isEqualTo(merge(a, merge(b, c)));
  }

  @Property(seed = SEED)
  void idempotent(@ForAll("claims") Member a, @ForAll("claims") Member b) {
    assertThat(merge(a, a)).isEqualTo(a);
    assertThat(merge(merge(a, b), b)).isEqualTo(merge(a, b));
  }

  @Property(seed = SEED)
  void incarnationThenStatusDecide(@ForAll("claims") Member a, @ForAll("claims") Member b) {
    Member merged = merge(a, b);
    assertThat(merged.incarnation()).isEqualTo(Math.max(a.incarnation(), b.incarnation()));
    if (a.incarnation() == b.incarnation()) {
      boolean firstLater = a.status().compareTo(b.status()) > 0;
      assertThat(merged.status()).isEqualTo(firstLater ? a.status() : b.status());
    }
    assertThat(merged.applied()).isGreaterThanOrEqualTo(a.applied());
  }
}
