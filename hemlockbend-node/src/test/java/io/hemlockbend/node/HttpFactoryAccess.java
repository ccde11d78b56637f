package io.hemlockbend.node;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;

/** Gives tests of other packages the client with the limits of a node. */
public final class HttpFactoryAccess {

  private HttpFactoryAccess() {}

  /** Creates a node's client. */
  public static HttpClient client(Executor executor) {
    return HttpFactory.client(executor);
  }
}
