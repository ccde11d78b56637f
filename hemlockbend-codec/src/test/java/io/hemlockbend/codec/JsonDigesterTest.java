package io.hemlockbend.codec;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.api.VersionName;
import io.hemlockbend.core.model.Change;
import io.hemlockbend.core.model.ChangeApplier;
import io.hemlockbend.core.model.Configuration;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonDigesterTest {
  private static final JsonCodec CODEC = new JsonCodec();
  private static final JsonDigester DIGESTER = new JsonDigester(CODEC);

  @Test
  void canonicalFormIsFixed() {
    assertThat(new String(CODEC.encode(configurationWith("v1")), UTF_8))
        .isEqualTo(
            "{\"version\":1,\"services\":{\"quotes\":{\"name\":\"quotes\",\"owner\":\"team\","
                + "\"active\":\"v1\"}},\"versions\":{\"quotes/v1\":\"USABLE\"},\"routes\":{},"
                + "\"moves\":{},\"domains\":{}}");
  }

  @Test
  void onlyEqualConfigurationsHaveEqualDigests() {
    assertThat(DIGESTER.digest(configurationWith("v1")))
        .isEqualTo(DIGESTER.digest(configurationWith("v1")));
    assertThat(DIGESTER.digest(configurationWith("v1")))
        .isNotEqualTo(DIGESTER.digest(configurationWith("v2")));
  }

  private static Configuration configurationWith(String name) {
    VersionKey key = new VersionKey(new ServiceName("quotes"), new VersionName(name));
    return ChangeApplier.apply(
        Configuration.EMPTY, List.of(new Change.AddVersion(key, new TeamName("team"))));
  }
}
