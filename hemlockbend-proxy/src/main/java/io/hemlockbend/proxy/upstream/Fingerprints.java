package io.hemlockbend.proxy.upstream;

import io.hemlockbend.core.api.RequestId;
import io.hemlockbend.proxy.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.zip.CRC32C;

/**
 * Computes request fingerprints from method, target, caller and body, but not from the request id.
 */
final class Fingerprints {
  private Fingerprints() {}

  static RequestId of(HttpRequest request, String callerField) {
    CRC32C head = new CRC32C();
    update(head, request.method());
    update(head, request.target());
    String caller = request.field(callerField);
    if (caller != null) {
      update(head, caller);
    }
    CRC32C body = new CRC32C();
    body.update(request.body());
    HexFormat hex = HexFormat.of();
    return new RequestId(
        hex.toHexDigits((int) head.getValue()) + hex.toHexDigits((int) body.getValue()));
  }

  private static void update(CRC32C sum, String text) {
    sum.update(text.getBytes(StandardCharsets.ISO_8859_1));
    sum.update(0);
  }
}
