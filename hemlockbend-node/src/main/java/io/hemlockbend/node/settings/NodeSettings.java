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
 * A node's validated settings; {@link Setting} tells what each means.
 *
 * @param nodeId name of this node
 * @param region region of this node
 * @param failureDomain failure domain of this node
 * @param host IP number of all listeners
 * @param callerPort port for callers, 0 for a free one
 * @param meshPort port for other nodes' requests, 0 for a free one
 * @param controlPort port for control messages, 0 for a free one
 * @param adminPort port for operators, 0 for a free one
 * @param platformUri where the platform answers
 * @param platformTimeoutMillis longest wait for the platform
 * @param seeds control addresses to join through
 * @param attemptTimeoutMillis longest wait for an answer's first byte
 * @param requestTimeoutMillis longest life of a request without a deadline
 * @param bufferBytes largest body that is held whole
 * @param announcementMillis life of an announcement
 * @param drainMillis longest wait for requests in flight at a stop
 * @param trafficThreads threads that carry traffic
 * @param tokens operators' tokens as given
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
   * Validates values and makes the settings.
   *
   * @param given the values by setting; those left out take their defaults
   * @throws SettingsException naming every fault
   */
  public static NodeSettings read(Map<Setting, String> given) throws SettingsException {
    Map<Setting, String> values = new EnumMap<>(Setting.class);
    List<SettingFault> faults = new ArrayList<>();
    for (Setting setting : Setting.values()) {
      String value = given.getOrDefault(setting, setting.fallback().orElse(null));
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

  /** Leaves the tokens out, so that they are never logged. */
  @Override
  public String toString() {
    return "NodeSettings[" + nodeId + " in " + failureDomain + "]";
  }
}
