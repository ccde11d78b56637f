package io.hemlockbend.node.admin;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminRequest;
import io.hemlockbend.core.administration.AdminRequest.CommitTag;
import io.hemlockbend.core.administration.ProblemKey;
import io.hemlockbend.core.api.ConfigurationVersion;
import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.core.model.Change;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.eclipse.jetty.http.HttpMethod;

/** Maps paths to commands and decodes their input. */
final class CommandTable {
  private static final int DEFAULT_LIMIT = 20;
  private static final int MAX_LIMIT = 1_000;

  private final Map<String, Command> commands = new TreeMap<>();
  private final AdministrationService service;
  private final JsonCodec codec;

  CommandTable(AdministrationService service, JsonCodec codec) {
    this.service = service;
    this.codec = codec;
    query(AdminPaths.DIFF, (operator, input) -> service.diff(operator));
    query(AdminPaths.SHOW, (operator, input) -> service.show());
    query(AdminPaths.PROGRESS, (operator, input) -> service.progress(version(input)));
    query(AdminPaths.HISTORY, (operator, input) -> service.history(limit(input)));
    query(AdminPaths.EXPLAIN, (operator, input) -> service.explain(request(input)));
    mutation(AdminPaths.STAGE, this::stage);
    mutation(AdminPaths.COMMIT, this::commit);
    mutation(AdminPaths.DISCARD, (operator, input) -> service.discard(operator));
    mutation(AdminPaths.MOVE, this::move);
    mutation(AdminPaths.WITHDRAW, this::withdraw);
    mutation(AdminPaths.RESTORE, this::restore);
    mutation(AdminPaths.TAKE_BACK, this::takeBack);
  }

  /** Returns the command at a path; empty when there is none. */
  Optional<Command> find(String path) {
    return Optional.ofNullable(commands.get(path));
  }

  private void query(
      String path, BiFunction<Operator, CommandInput, CompletableFuture<? extends Object>> action) {
    commands.put(path, new Command(name(path), HttpMethod.GET, false, action));
  }

  private void mutation(
      String path, BiFunction<Operator, CommandInput, CompletableFuture<? extends Object>> action) {
    commands.put(path, new Command(name(path), HttpMethod.POST, true, action));
  }

  private static String name(String path) {
    return path.substring(path.lastIndexOf('/') + 1);
  }

  private CompletableFuture<?> stage(Operator operator, CommandInput input) {
    AdminRequest.Stage stage = codec.decode(input.body(), AdminRequest.Stage.class);
    return service.stage(operator, stage.changes());
  }

  private CompletableFuture<?> commit(Operator operator, CommandInput input) {
    AdminRequest.Commit commit = codec.decode(input.body(), AdminRequest.Commit.class);
    return service.commit(operator, commit.commit());
  }

  private CompletableFuture<?> move(Operator operator, CommandInput input) {
    AdminRequest.Move move = codec.decode(input.body(), AdminRequest.Move.class);
    return stageOrCommit(
        operator,
        new Change.StartMove(move.service(), move.to(), 0, move.deadlineMillis()),
        move.commit());
  }

  private CompletableFuture<?> withdraw(Operator operator, CommandInput input) {
    AdminRequest.Withdraw withdraw = codec.decode(input.body(), AdminRequest.Withdraw.class);
    return stageOrCommit(operator, new Change.Withdraw(withdraw.domain(), 0), withdraw.commit());
  }

  private CompletableFuture<?> restore(Operator operator, CommandInput input) {
    AdminRequest.Restore restore = codec.decode(input.body(), AdminRequest.Restore.class);
    return stageOrCommit(
        operator, new Change.Restore(restore.domain(), 0, restore.rampMillis()), restore.commit());
  }

  private CompletableFuture<?> takeBack(Operator operator, CommandInput input) {
    AdminRequest.TakeBack takeBack = codec.decode(input.body(), AdminRequest.TakeBack.class);
    return stageOrCommit(
        operator,
        new Change.TakeBack(takeBack.key(), takeBack.replacement().orElse(null)),
        takeBack.commit());
  }

  private CompletableFuture<?> stageOrCommit(
      Operator operator, Change change, Optional<CommitTag> tag) {
    return tag.isPresent()
        ? service.commit(operator, List.of(change), tag.get())
        : service.stage(operator, List.of(change));
  }

  private static int limit(CommandInput input) {
    String text = input.query().getValue(AdminPaths.LIMIT);
    if (text == null) {
      return DEFAULT_LIMIT;
    }
    if (!text.matches("[1-9][0-9]{0,3}") || Integer.parseInt(text) > MAX_LIMIT) {
      throw AdministrationException.of(
          ProblemKey.MALFORMED, AdminPaths.LIMIT + " must be 1 to " + MAX_LIMIT + ": " + text);
    }
    return Integer.parseInt(text);
  }

  private static ConfigurationVersion version(CommandInput input) {
    String text = input.query().getValue(AdminPaths.VERSION);
    if (text == null || !text.matches("[0-9]{1,18}")) {
      throw AdministrationException.of(
          ProblemKey.MALFORMED, AdminPaths.VERSION + " must be a version number: " + text);
    }
    return new ConfigurationVersion(Long.parseLong(text));
  }

  private static RequestId request(CommandInput input) {
    try {
      return new RequestId(input.query().getValue(AdminPaths.REQUEST));
    } catch (IllegalArgumentException e) {
      throw AdministrationException.of(ProblemKey.MALFORMED, e.getMessage());
    }
  }
}
