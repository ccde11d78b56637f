package io.hemlockbend.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.JsonDigester;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.model.Configuration;
import java.io.IOException;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpObjectStoreTest {
  private static final long TIMEOUT_MILLIS = 30_000;
  private static final String BODY = new String(new JsonCodec().encode(Configuration.EMPTY), UTF_8);
  private static final Digest DIGEST = JsonDigester.digestOf(BODY.getBytes(UTF_8));

  private final HttpClient client = new HttpClient();

  @BeforeEach
  void start() throws Exception {
    client.start();
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
  }

  private HttpObjectStore store(ScriptedServer server) {
    return new HttpObjectStore(client, new PlatformSettings(server.uri(), TIMEOUT_MILLIS));
  }

  @Test
  void intactObjectIsFetched() throws IOException {
    try (ScriptedServer server = ScriptedServer.answeringJson(200, BODY)) {
      assertThat(store(server).fetch(DIGEST).join()).contains(Configuration.EMPTY);
    }
  }

  @Test
  void missingObjectIsEmpty() throws IOException {
    try (ScriptedServer server = ScriptedServer.answeringJson(404, "")) {
      assertThat(store(server).fetch(DIGEST).join()).isEmpty();
    }
  }

  @Test
  void damagedObjectIsRefused() throws IOException {
    String damaged = BODY.replace("\"version\":0", "\"version\":1");
    try (ScriptedServer server = ScriptedServer.answeringJson(200, damaged)) {
      assertThatThrownBy(() -> store(server).fetch(DIGEST).join())
          .cause()
          .isExactlyInstanceOf(PlatformException.NotApplied.class)
          .hasMessageContaining("object " + DIGEST + " is damaged");
    }
  }

  @Test
  void failedPutIsUnknown() throws IOException {
    try (ScriptedServer server = ScriptedServer.answeringJson(503, "")) {
      assertThatThrownBy(() -> store(server).put(DIGEST, Configuration.EMPTY).join())
          .cause()
          .isExactlyInstanceOf(PlatformException.Unknown.class);
    }
  }
}
