package io.hemlockbend.node.admin;

import io.hemlockbend.core.acceptance.ChangeDraft;
import io.hemlockbend.core.acceptance.ChangeSet;
import io.hemlockbend.core.acceptance.CommitRequest;
import io.hemlockbend.core.acceptance.ServiceOwnership;
import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.administration.ConfigurationDiff;
import io.hemlockbend.core.administration.Fault;
import io.hemlockbend.core.administration.Problem;
import io.hemlockbend.core.administration.ProblemKey;
import io.hemlockbend.core.administration.ShowReport;
import io.hemlockbend.core.api.Clock;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.Member;
import io.hemlockbend.core.api.MemberStatus;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.validation.ConfigurationChecker;
import io.hemlockbend.core.validation.Violation;
import io.hemlockbend.platform.TableService;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * Executes operators' commands. Changes go through the platform's table; queries about the mesh are
 * answered from the node's memory, so that they work while the platform is unreachable.
 * Thread-safe. Futures fail with {@link AdministrationException}.
 */
public final class AdministrationService {
  private final TableService table;
  private final CommitExecutor commits;
  private final MeshView mesh;
  private final Clock clock;
  private final StagingArea staging;
  private final ConfigurationChecker checker = ConfigurationChecker.forAcceptance();

  /**
   * Creates a service.
   *
   * @param table the platform's table
   * @param commits executes commits
   * @param mesh the node's local view of the mesh
   * @param clock the time source
   */
  public AdministrationService(
      TableService table, CommitExecutor commits, MeshView mesh, Clock clock) {
    this.table = table;
    this.commits = commits;
    this.mesh = mesh;
    this.clock = clock;
    this.staging = new StagingArea(table);
  }

  /** Stages changes and returns all staged changes with their diff. */
  public CompletableFuture<AdminResponse.Staged> stage(Operator operator, List<Change> changes) {
    Optional<AdministrationException> forbidden = forbidden(operator, changes);
    if (forbidden.isPresent()) {
      return CompletableFuture.failedFuture(forbidden.get());
    }
    return staging
        .add(operator.author().name(), mesh.inForce().version(), changes)
        .thenApply(set -> staged(operator, set));
  }

  /** Returns the staged changes with their diff against the configuration in force. */
  public CompletableFuture<AdminResponse.Staged> diff(Operator operator) {
    return staging
        .read(operator.author().name(), mesh.inForce().version())
        .thenApply(set -> staged(operator, set));
  }

  /** Discards the staged changes. */
  public CompletableFuture<AdminResponse.Staged> discard(Operator operator) {
    return staging
        .clear(operator.author().name(), mesh.inForce().version())
        .thenApply(set -> staged(operator, set));
  }

  /** Commits the staged changes. */
  public CompletableFuture<AdminResponse.Accepted> commit(Operator operator, CommitTag tag) {
    return commit(operator, Optional.empty(), tag);
  }

  /** Commits the given changes without staging them. */
  public CompletableFuture<AdminResponse.Accepted> commit(
      Operator operator, List<Change> changes, CommitTag tag) {
    ChangeSet direct = ChangeSet.direct(mesh.inForce().version(), changes);
    return commit(operator, Optional.of(direct), tag);
  }

  private CompletableFuture<AdminResponse.Accepted> commit(
      Operator operator, Optional<ChangeSet> direct, CommitTag tag) {
    CommitRequest request =
        new CommitRequest(tag.id(), operator.author(), clock.millis(), liveDomains(), List.of());
    return commits
        .run(request, direct, tag.resent())
        .thenApply(outcome -> CommitResponses.response(tag.id(), outcome));
  }

  /** Returns the configuration in force and each node's version; works without the platform. */
  public CompletableFuture<AdminResponse.Show> show() {
    return table
        .read(RowKey.CURRENT)
        .thenApply(
            row ->
                row.map(r -> ((RowValue.Current) r.value()).version())
                    .or(() -> Optional.of(ConfigurationVersion.NONE)))
        .exceptionally(failure -> Optional.empty())
        .thenApply(this::show);
  }

  private AdminResponse.Show show(Optional<ConfigurationVersion> newestAccepted) {
    return report(newestAccepted).show();
  }

  private ShowReport report(Optional<ConfigurationVersion> newestAccepted) {
    return new ShowReport(mesh.inForce(), mesh.configuration(), newestAccepted, mesh.members());
  }

  /** Returns the distribution progress of a version; works without the platform. */
  public CompletableFuture<AdminResponse.Progress> progress(ConfigurationVersion version) {
    return CompletableFuture.completedFuture(report(Optional.empty()).progress(version));
  }

  /** Lists the newest accepted versions. */
  public CompletableFuture<AdminResponse.History> history(int limit) {
    return table
        .scan(RowKey.HISTORY_PREFIX, limit)
        .thenApply(rows -> rows.stream().map(row -> (RowValue.History) row.value()).toList())
        .thenApply(AdminResponse.History::new)
        .exceptionallyCompose(PlatformFailures::notApplied);
  }

  /** Returns the recent decisions on a request; works without the platform. */
  public CompletableFuture<AdminResponse.Explanation> explain(RequestId request) {
    return CompletableFuture.completedFuture(
        new AdminResponse.Explanation(request, mesh.decisions(request)));
  }

  /** Rejects changes that the author may not make or that only the rollout controller makes. */
  private Optional<AdministrationException> forbidden(Operator operator, List<Change> changes) {
    boolean reserved =
        changes.stream()
            .anyMatch(c -> c instanceof Change.AdvanceMove || c instanceof Change.FinishRestore);
    if (reserved) {
      return Optional.of(
          AdministrationException.of(
              ProblemKey.FORBIDDEN,
              "advance-move and finish-restore are reserved for the rollout controller"));
    }
    List<Violation> notOwned =
        changes.stream()
            .flatMap(
                c -> ServiceOwnership.check(mesh.configuration(), c, operator.author()).stream())
            .toList();
    return notOwned.isEmpty()
        ? Optional.empty()
        : Optional.of(new AdministrationException(Problem.refused(ProblemKey.FORBIDDEN, notOwned)));
  }

  private AdminResponse.Staged staged(Operator operator, ChangeSet set) {
    Configuration inForce = mesh.configuration();
    ChangeDraft draft = ChangeDraft.of(inForce, set.changes(), operator.author(), clock.millis());
    Configuration next = ChangeApplier.apply(inForce, draft.accepted());
    List<Violation> violations = new ArrayList<>(draft.violations());
    violations.addAll(checker.check(next, liveDomains()));
    return new AdminResponse.Staged(
        operator.author().name(),
        set.base(),
        inForce.version(),
        set.changes(),
        ConfigurationDiff.between(inForce, next),
        Fault.of(violations));
  }

  private Set<FailureDomain> liveDomains() {
    return mesh.members().stream()
        .filter(member -> member.status() == MemberStatus.ALIVE)
        .map(Member::domain)
        .collect(Collectors.toSet());
  }
}
