package io.hemlockbend.core.claim;

import io.hemlockbend.core.api.IdempotencyKey;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stores responses for replay to resends; evicts the oldest when the total size is exceeded. */
final class ResponseStore {
  private final Map<IdempotencyKey, StoredResponse> responses = new LinkedHashMap<>();
  private final int maxResponseBytes;
  private final int maxStoredBytes;
  private long totalBytes;

  ResponseStore(ClaimSettings settings) {
    this.maxResponseBytes = settings.maxResponseBytes();
    this.maxStoredBytes = settings.maxStoredBytes();
  }

  void put(IdempotencyKey key, StoredResponse response) {
    if (response.body().length > maxResponseBytes) {
      return;
    }
    remove(key);
    responses.put(key, response);
    totalBytes += response.sizeBytes();
    for (Iterator<StoredResponse> oldest = responses.values().iterator();
        totalBytes > maxStoredBytes; ) {
      totalBytes -= oldest.next().sizeBytes();
      oldest.remove();
    }
  }

  /** Returns the response, or null when it is not stored. */
  StoredResponse get(IdempotencyKey key) {
    return responses.get(key);
  }

  void remove(IdempotencyKey key) {
    StoredResponse removed = responses.remove(key);
    if (removed != null) {
      totalBytes -= removed.sizeBytes();
    }
  }
}
