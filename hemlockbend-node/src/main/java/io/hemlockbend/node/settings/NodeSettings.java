package io.hemlockbend.node.settings;

import io.hemlockbend.core.api.FailureDomain;
import io.hemlockbend.core.api.NodeAddress;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.api.Region;
import java.net.URI;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A node's validated settings; see {@link Setting} for their descriptions.
 *
 * @param nodeId name of this node
 * @param region region of this node
 * @param failureDomain failure domain of this node
 * @param host IP address of all listeners
 * @param callerPort port for callers, 0 for a free port
 * @param meshPort port for other nodes' requests, 0 for a free port
 * @param controlPort port for control messages, 0 for a free port
 * @param adminPort port for operators, 0 for a free port
 * @param platformUri base URI of the platform
 * @param platformTimeoutMillis time-out of a platform call
 * @param seeds control addresses of nodes to join through
 * @param attemptTimeoutMillis time-out until the first byte of the answer to a safe request
 * @param requestTimeoutMillis time limit of a request without deadline, and upper bound of all
 *     deadlines
 * @param bufferBytes largest body that is buffered; larger ones are streamed
 * @param announcementMillis time until an upstream without announcements counts as down
 * @param drainMillis maximum wait for requests in flight at shutdown
 * @param trafficThreads maximum number of threads that serve requests
 * @param tokens operators' tokens, unparsed
 */
public record NodeSettings(
    NodeId nodeId,
    Region region,
    FailureDomain failureDomain,
    String host,
    int callerPort,
    int meshPort,
    int controlPort,
    int adminPort,
    URI platformUri,
    long platformTimeoutMillis,
    List<NodeAddress> seeds,
    long attemptTimeoutMillis,
    long requestTimeoutMillis,
    int bufferBytes,
    long announcementMillis,
    long drainMillis,
    int trafficThreads,
    String tokens) {

  /**
   * Validates the values and creates the settings.
   *
   * @param given the values by setting; missing ones take their defaults
   * @throws SettingsException if any value is missing or not allowed; lists every fault
   */
  public static NodeSettings read(Map<Setting, String> given) throws SettingsException {
    Map<Setting, String> values = new EnumMap<>(Setting.class);
    List<SettingFault> faults = new ArrayList<>();
    for (Setting setting : Setting.values()) {
      String value = given.getOrDefault(setting, setting.defaultValue().orElse(null));
      if (value == null || !setting.format().accepts(value)) {
        faults.add(new SettingFault(setting, value));
        continue;
      }
      values.put(setting, value);
    }
    if (!faults.isEmpty()) {
      throw new SettingsException(faults);
    }
    return of(values);
  }

  private static NodeSettings of(Map<Setting, String> values) {
    return new NodeSettings(
        new NodeId(values.get(Setting.NODE_ID)),
        new Region(values.get(Setting.REGION)),
        new FailureDomain(values.get(Setting.FAILURE_DOMAIN)),
        values.get(Setting.HOST),
        number(values, Setting.CALLER_PORT),
        number(values, Setting.MESH_PORT),
        number(values, Setting.CONTROL_PORT),
        number(values, Setting.ADMIN_PORT),
        URI.create(values.get(Setting.PLATFORM_URI)),
        number(values, Setting.PLATFORM_TIMEOUT_MILLIS),
        addresses(values.get(Setting.SEEDS)),
        number(values, Setting.ATTEMPT_TIMEOUT_MILLIS),
        number(values, Setting.REQUEST_TIMEOUT_MILLIS),
        number(values, Setting.BUFFER_BYTES),
        number(values, Setting.ANNOUNCEMENT_MILLIS),
        number(values, Setting.DRAIN_MILLIS),
        number(values, Setting.TRAFFIC_THREADS),
        values.get(Setting.TOKENS));
  }

  private static int number(Map<Setting, String> values, Setting setting) {
    return Integer.parseInt(values.get(setting));
  }

  private static List<NodeAddress> addresses(String text) {
    return Stream.of(text.split(","))
        .filter(part -> !part.isEmpty())
        .map(NodeSettings::address)
        .toList();
  }

  private static NodeAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new NodeAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Omits the tokens, so that they are never logged. */
  @Override
  public String toString() {
    return "NodeSettings[" + nodeId + " in " + failureDomain + "]";
  }
}
