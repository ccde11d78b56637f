package io.hemlockbend.cli;

import io.hemlockbend.core.administration.AdminPaths;
import io.hemlockbend.core.administration.AdminRequest;
import io.hemlockbend.core.administration.AdminResponse;
import io.hemlockbend.core.model.Change;
import java.util.List;

/** A command that stages one change. */
abstract class StagingCommand extends AdminCommand {
  /** Returns the change. */
  abstract Change change();

  @Override
  Object send(AdminClient client) {
    return client.post(
        AdminPaths.STAGE, new AdminRequest.Stage(List.of(change())), AdminResponse.Staged.class);
  }
}
