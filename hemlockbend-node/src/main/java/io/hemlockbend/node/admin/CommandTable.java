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

/** Knows the commands by their paths and reads their input. */
final class CommandTable {
  private static final int DEFAULT_LIMIT = 20;
  private static final int MAX_LIMIT = 1_000;

  private final Map<String, Command> commands = new TreeMap<>();
  private final AdministrationService service;
  private final JsonCodec codec;

  CommandTable(AdministrationService service, JsonCodec codec) {
    this.service = service;
    this.codec = codec;
    ask(AdminPaths.DIFF, (operator, input) -> service.diff(operator));
    ask(AdminPaths.SHOW, (operator, input) -> service.show());
    ask(AdminPaths.PROGRESS, (operator, input) -> service.progress(version(input)));
    ask(AdminPaths.HISTORY, (operator, input) -> service.history(limit(input)));
    ask(AdminPaths.EXPLAIN, (operator, input) -> service.explain(request(input)));
    change(AdminPaths.STAGE, this::stage);
    change(AdminPaths.COMMIT, this::commit);
    change(AdminPaths.DISCARD, (operator, input) -> service.discard(operator));
    change(AdminPaths.MOVE, this::move);
    change(AdminPaths.WITHDRAW, this::withdraw);
    change(AdminPaths.RESTORE, this::restore);
    change(AdminPaths.TAKE_BACK, this::takeBack);
  }

  /** Returns the command of a path. */
  Optional<Command> find(String path) {
    return Optional.ofNullable(commands.get(path));
  }

  private void ask(
      String path, BiFunction<Operator, CommandInput, CompletableFuture<? extends Object>> body) {
    commands.put(path, new Command(name(path), HttpMethod.GET, false, body));
  }

  private void change(
      String path, BiFunction<Operator, CommandInput, CompletableFuture<? extends Object>> body) {
    commands.put(path, new Command(name(path), HttpMethod.POST, true, body));
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
          ProblemKey.MALFORMED, AdminPaths.LIMIT + " must be 1 to " + MAX_LIMIT);
    }
    return Integer.parseInt(text);
  }

  private static ConfigurationVersion version(CommandInput input) {
    String text = input.query().getValue(AdminPaths.VERSION);
    if (text == null || !text.matches("[0-9]{1,18}")) {
      throw AdministrationException.of(
          ProblemKey.MALFORMED, AdminPaths.VERSION + " must be the number of a version");
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
