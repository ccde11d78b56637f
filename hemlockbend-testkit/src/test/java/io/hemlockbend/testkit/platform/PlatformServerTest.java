package io.hemlockbend.testkit.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hemlockbend.codec.JsonCodec;
import io.hemlockbend.codec.JsonDigester;
import io.hemlockbend.core.api.Digest;
import io.hemlockbend.core.api.NodeId;
import io.hemlockbend.core.model.Configuration;
import io.hemlockbend.core.table.Condition;
import io.hemlockbend.core.table.RowKey;
import io.hemlockbend.core.table.RowValue;
import io.hemlockbend.core.table.RowWrite;
import io.hemlockbend.core.table.Transaction;
import io.hemlockbend.core.table.TransactionOutcome;
import io.hemlockbend.platform.HttpObjectStore;
import io.hemlockbend.platform.HttpTableService;
import io.hemlockbend.platform.PlatformException;
import io.hemlockbend.platform.PlatformSettings;
import java.util.List;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformServerTest {
  private static final long TIMEOUT_MILLIS = 30_000;
  private static final RowKey KEY = new RowKey("lease/ä b&c");
  private static final RowValue VALUE = new RowValue.Lease(new NodeId("n1"), 1, 99);
  private static final Transaction CREATE =
      new Transaction(List.of(new Condition.Absent(KEY)), List.of(new RowWrite.Put(KEY, VALUE)));

  private final HttpClient client = new HttpClient();
  private final PlatformServer server = PlatformServer.onLoopback(7);
  private final PlatformSettings settings = new PlatformSettings(server.uri(), TIMEOUT_MILLIS);
  private final HttpTableService service = new HttpTableService(client, settings);

  @BeforeEach
  void start() throws Exception {
    client.start();
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    server.close();
  }

  @Test
  void rowsAreWrittenOnceAndReadBack() {
    assertThat(service.transact(CREATE).join()).isEqualTo(new TransactionOutcome.Applied());
    assertThat(service.transact(CREATE).join())
        .isEqualTo(new TransactionOutcome.Conflicted(List.of(KEY)));
    assertThat(service.read(KEY).join().orElseThrow().value()).isEqualTo(VALUE);
    assertThat(service.scan("lease/", 5).join()).hasSize(1);
    assertThat(server.counts()).isEqualTo(new PlatformCounts(2, 2, 1, 0, 0));
  }

  @Test
  void objectsAreStoredUnderTheirDigest() {
    HttpObjectStore store = new HttpObjectStore(client, settings);
    Digest digest = new JsonDigester(new JsonCodec()).digest(Configuration.EMPTY);
    assertThat(store.fetch(digest).join()).isEmpty();
    store.put(digest, Configuration.EMPTY).join();
    assertThat(store.fetch(digest).join()).contains(Configuration.EMPTY);
  }

  @Test
  void callWithALostAnswerTakesEffect() throws Exception {
    post("{\"down\":false,\"slowMillis\":1,\"lostAnswersPermille\":1000}");
    assertThatThrownBy(() -> service.transact(CREATE).join())
        .hasCauseInstanceOf(PlatformException.Unknown.class);
    assertThat(server.table().read(KEY)).isPresent();
  }

  @Test
  void downPlatformHasNoEffect() throws Exception {
    post("{\"down\":true,\"slowMillis\":0,\"lostAnswersPermille\":0}");
    assertThatThrownBy(() -> service.transact(CREATE).join())
        .hasCauseInstanceOf(PlatformException.class);
    assertThat(server.table().transactions()).isZero();
    server.faults(PlatformFaults.NONE);
    assertThat(service.transact(CREATE).join()).isEqualTo(new TransactionOutcome.Applied());
  }

  private void post(String faults) throws Exception {
    int status =
        client
            .POST(server.uri().resolve("/faults"))
            .body(new BytesRequestContent(faults.getBytes()))
            .send()
            .getStatus();
    assertThat(status).isEqualTo(204);
  }
}
