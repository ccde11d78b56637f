package io.hemlockbend.node.admission;

import io.hemlockbend.core.claim.RequestFingerprint;
import io.hemlockbend.node.forward.Call;
import io.hemlockbend.node.forward.CallBody;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes a SHA-256 digest of method, target and body; for a streamed body, of its length. */
final class Fingerprints {

  private Fingerprints() {}

  static RequestFingerprint of(Call call) {
    MessageDigest digest = sha256();
    digest.update(call.method().getBytes(StandardCharsets.UTF_8));
    digest.update((byte) ' ');
    digest.update(call.target().getBytes(StandardCharsets.UTF_8));
    digest.update((byte) ' ');
    switch (call.body()) {
      case CallBody.Buffered buffered -> digest.update(buffered.bytes());
      case CallBody.Streamed streamed ->
          digest.update(Long.toString(streamed.length()).getBytes(StandardCharsets.UTF_8));
    }
    return new RequestFingerprint(HexFormat.of().formatHex(digest.digest()));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
