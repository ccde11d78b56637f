package io.hemlockbend.core.claim;

import io.hemlockbend.core.api.IdempotencyKey;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Keeps answers for resends, the oldest going first when they take too many bytes. */
final class AnswerStore {
  private final Map<IdempotencyKey, StoredAnswer> answers = new LinkedHashMap<>();
  private final int maxAnswerBytes;
  private final int maxTotalBytes;
  private long totalBytes;

  AnswerStore(ClaimSettings settings) {
    this.maxAnswerBytes = settings.maxAnswerBytes();
    this.maxTotalBytes = settings.maxTotalBytes();
  }

  void keep(IdempotencyKey key, StoredAnswer answer) {
    if (answer.body().length > maxAnswerBytes) {
      return;
    }
    remove(key);
    answers.put(key, answer);
    totalBytes += answer.sizeBytes();
    for (Iterator<StoredAnswer> oldest = answers.values().iterator();
        totalBytes > maxTotalBytes; ) {
      totalBytes -= oldest.next().sizeBytes();
      oldest.remove();
    }
  }

  /** Returns the answer, or null when it is not kept. */
  StoredAnswer answer(IdempotencyKey key) {
    return answers.get(key);
  }

  void remove(IdempotencyKey key) {
    StoredAnswer removed = answers.remove(key);
    if (removed != null) {
      totalBytes -= removed.sizeBytes();
    }
  }
}
