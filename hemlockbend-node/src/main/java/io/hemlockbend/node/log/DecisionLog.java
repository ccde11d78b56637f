package io.hemlockbend.node.log;

import io.hemlockbend.core.api.DecisionRecord;
import java.util.Locale;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes decisions as JSON lines to the logger {@code decisions}. The configured appender is
 * asynchronous, so that requests do not wait for it.
 */
public final class DecisionLog implements DecisionListener {
  private static final Logger LOGGER = LogManager.getLogger("decisions");

  private final String node;

  /**
   * Creates a log.
   *
   * @param node the node's name, written on every line
   */
  public DecisionLog(String node) {
    this.node = node;
  }

  @Override
  public void decided(DecisionRecord decision) {
    if (!LOGGER.isInfoEnabled()) {
      return;
    }
    StringMapMessage line = new StringMapMessage(9);
    line.put("atMillis", Long.toString(decision.atMillis()));
    line.put("node", node);
    line.put("kind", decision.kind().name().toLowerCase(Locale.ROOT));
    decision.request().ifPresent(id -> line.put("request", id.value()));
    decision.route().ifPresent(route -> line.put("route", route.value()));
    decision.version().ifPresent(version -> line.put("version", version.toString()));
    decision.upstream().ifPresent(upstream -> line.put("upstream", upstream.value()));
    line.put("refused", Boolean.toString(decision.refused()));
    line.put("reason", decision.reason());
    LOGGER.info(line);
  }
}
