package io.hemlockbend.core.evidence;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.model.Configuration;
import java.util.HashMap;
import java.util.Map;

/**
 * Selects the services on which a node reports evidence: those with a move in progress, and those
 * whose move ended less than {@link #SOAK_MILLIS} ago.
 */
public final class EvidenceScope {
  /** Soak time: how long a version is observed after its move has finished. */
  public static final long SOAK_MILLIS = 600_000;

  private final Map<ServiceName, Long> lastMoving = new HashMap<>();
  private Configuration current = Configuration.EMPTY;

  /**
   * Applies a new configuration.
   *
   * @param configuration the configuration now in force
   * @param nowMillis the time in milliseconds since the epoch
   */
  public void onConfiguration(Configuration configuration, long nowMillis) {
    current.moves().keySet().forEach(service -> lastMoving.put(service, nowMillis));
    configuration.moves().keySet().forEach(service -> lastMoving.put(service, nowMillis));
    lastMoving.values().removeIf(last -> nowMillis - last >= SOAK_MILLIS);
    current = configuration;
  }

  /**
   * Returns whether evidence on the service is to be reported now.
   *
   * @param service the service
   * @param nowMillis the time in milliseconds since the epoch
   */
  public boolean includes(ServiceName service, long nowMillis) {
    return current.moves().containsKey(service)
        || nowMillis - lastMoving.getOrDefault(service, nowMillis - SOAK_MILLIS) < SOAK_MILLIS;
  }
}
