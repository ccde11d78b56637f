package io.hemlockbend.core.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReadScheduleTest {
  private static final DistributionSettings SETTINGS = DistributionSettings.DEFAULT;
  private static final long SECOND_MILLIS = 1_000;

  /** Returns the number of reads in each second, by nodes whose reads all succeed or all fail. */
  private static List<Integer> reads(int nodes, ReaderElection election, boolean up) {
    List<ReadSchedule> schedules = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      ReadSchedule schedule = new ReadSchedule(SETTINGS, new SplittableRandom(node));
      schedule.elected(election, 0);
      schedules.add(schedule);
    }
    List<Integer> perSecond = new ArrayList<>();
    int reads = 0;
    for (long now = 0; now < 60 * SECOND_MILLIS; now += 100) {
      for (ReadSchedule schedule : schedules) {
        if (schedule.due(now)) {
          reads++;
          if (up) {
            schedule.answered(now);
          } else {
            schedule.failed(now);
          }
        }
      }
      if (now % SECOND_MILLIS == SECOND_MILLIS - 100) {
        perSecond.add(reads);
        reads = 0;
      }
    }
    return perSecond;
  }

  @Test
  void simultaneousStartsStayWithinReadBudgetWhenEachNodeElectsItself() {
    assertThat(reads(3_100, new ReaderElection(true, 1, 1), true).subList(0, 8))
        .allSatisfy(perSecond -> assertThat(perSecond).isLessThan(2_000));
  }

  @Test
  void fullyPartitionedNodesStayWithinReadBudget() {
    assertThat(reads(3_100, new ReaderElection(true, 1, 282), true))
        .allSatisfy(perSecond -> assertThat(perSecond).isLessThan(2_000));
  }

  @ParameterizedTest
  @CsvSource({"false, 282, 282, 60", "true, 1, 1, 8", "true, 1, 282, 60"})
  void simultaneousStartsWithoutPlatformStayWithinReadBudget(
      boolean reader, int live, int known, int seconds) {
    assertThat(reads(3_100, new ReaderElection(reader, live, known), false).subList(0, seconds))
        .allSatisfy(perSecond -> assertThat(perSecond).isLessThan(2_000));
  }

  @Test
  void settledReaderReadsTwiceASecondAndNonReadersRarely() {
    assertThat(reads(1, new ReaderElection(true, 282, 282), true).subList(15, 60))
        .allSatisfy(perSecond -> assertThat(perSecond).isBetween(1, 3));
    assertThat(reads(1, new ReaderElection(false, 282, 282), true).subList(3, 60)).containsOnly(0);
  }

  @Test
  void domainElectsConfiguredNumberOfLiveReaders() {
    List<Member> members = new ArrayList<>();
    for (int index = 0; index < 40; index++) {
      members.add(
          DistributionFixtures.member(
              index, index % 3 == 0 ? MemberStatus.DEAD : MemberStatus.ALIVE));
    }
    long readers =
        members.stream()
            .filter(member -> member.status() == MemberStatus.ALIVE)
            .map(
                member ->
                    ReaderElection.elect(member.id(), new FailureDomain("d"), members, 2).reader())
            .filter(Boolean::booleanValue)
            .count();
    assertThat(readers).isEqualTo(2);
  }
}
