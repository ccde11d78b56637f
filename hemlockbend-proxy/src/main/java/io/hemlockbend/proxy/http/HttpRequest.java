package io.hemlockbend.proxy.http;

import java.util.List;
import org.eclipse.jetty.http.HttpField;

/**
 * A complete request.
 *
 * @param method the method
 * @param target the request target as it was sent
 * @param fields the header fields in the order received
 * @param body the body, possibly empty; not copied
 */
public record HttpRequest(String method, String target, List<HttpField> fields, byte[] body) {
  /** Returns the first value of a field, or null; ignores the case of the name. */
  public String field(String name) {
    return HttpMessages.value(fields, name);
  }

  /** Returns the path, without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
