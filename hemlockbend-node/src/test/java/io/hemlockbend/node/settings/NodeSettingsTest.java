package io.hemlockbend.node.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.InstanceOfAssertFactories.type;

import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeSettingsTest {

  @Test
  void missingSettingsTakeDefaults() throws SettingsException {
    NodeSettings settings = NodeSettings.read(required());
    assertThat(settings.callerPort()).isEqualTo(8080);
    assertThat(settings.seeds()).isEmpty();
  }

  @Test
  void allFaultsAreReportedTogether() {
    Map<Setting, String> values = new EnumMap<>(Setting.class);
    values.put(Setting.CALLER_PORT, "70000");
    values.put(Setting.SEEDS, "nowhere");
    assertThatThrownBy(() -> NodeSettings.read(values))
        .hasMessageContaining("--caller-port (HEMLOCKBEND_CALLER_PORT): '70000' is not allowed")
        .hasMessageContaining("--node-id (HEMLOCKBEND_NODE_ID) is required")
        .asInstanceOf(type(SettingsException.class))
        .satisfies(
            e ->
                assertThat(e.faults())
                    .extracting(SettingFault::setting)
                    .containsExactlyInAnyOrder(
                        Setting.NODE_ID,
                        Setting.FAILURE_DOMAIN,
                        Setting.PLATFORM_URI,
                        Setting.CALLER_PORT,
                        Setting.SEEDS));
  }

  @ParameterizedTest
  @CsvSource({
    "DRAIN_MILLIS, 0",
    "TRAFFIC_THREADS, 7",
    "BUFFER_BYTES, 1048577",
    "PLATFORM_URI, ftp://x",
    "HOST, not-a-number",
    "NODE_ID, 'a b'",
    "TOKENS, short=operator:*"
  })
  void invalidValuesAreRejected(Setting setting, String value) {
    Map<Setting, String> values = required();
    values.put(setting, value);
    assertThatThrownBy(() -> NodeSettings.read(values)).isInstanceOf(SettingsException.class);
  }

  @Test
  void messageOmitsTokens() {
    Map<Setting, String> values = required();
    values.put(Setting.TOKENS, "a-very-secret-token=nobody:x");
    assertThatThrownBy(() -> NodeSettings.read(values))
        .hasMessageContaining("--tokens")
        .hasMessageNotContaining("secret");
  }

  private static Map<Setting, String> required() {
    Map<Setting, String> values = new EnumMap<>(Setting.class);
    values.put(Setting.NODE_ID, "node-1");
    values.put(Setting.FAILURE_DOMAIN, "tunis");
    values.put(Setting.PLATFORM_URI, "http://127.0.0.1:7400");
    return values;
  }
}
