package io.hemlockbend.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Region;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LeaseCandidatesTest {
  private static Member member(int index, int domain, MemberStatus status) {
    NodeAddress address = new NodeAddress("127.0.0.1", 1000 + index);
    return new Member(
        new NodeId("node-" + index),
        new Region("region"),
        new FailureDomain("domain-" + domain),
        address,
        address,
        0,
        status,
        ConfigurationVersion.NONE,
        Optional.empty());
  }

  private static List<Member> members(int count, int domains) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member(i, i % domains, MemberStatus.ALIVE));
    }
    return members;
  }

  @Test
  void selectsFromDifferentDomainsRegardlessOfOrder() {
    List<Member> members = members(60, 5);
    List<NodeId> selected = LeaseCandidates.select(members);
    Collections.shuffle(members, new Random(1));
    assertThat(LeaseCandidates.select(members)).isEqualTo(selected).hasSize(LeaseCandidates.COUNT);
    Set<FailureDomain> domains = new HashSet<>();
    members.stream().filter(m -> selected.contains(m.id())).forEach(m -> domains.add(m.domain()));
    assertThat(domains).hasSize(LeaseCandidates.COUNT);
  }

  @Test
  void fillsUpFromOneDomainAndSkipsDeadNodes() {
    List<Member> members = members(4, 1);
    members.set(0, member(0, 0, MemberStatus.DEAD));
    assertThat(LeaseCandidates.select(members))
        .containsExactlyInAnyOrder(
            new NodeId("node-1"), new NodeId("node-2"), new NodeId("node-3"));
    assertThat(LeaseCandidates.select(List.of())).isEmpty();
  }
}
