package io.hemlockbend.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates to piggyback on messages: each item is sent a bounded number of times, the least sent
 * first. On overflow, as when many nodes start at once, the items already sent are dropped first;
 * anti-entropy makes up for their loss.
 *
 * @param <K> what identifies an item; a newer item replaces the one of the same key
 * @param <V> the item
 */
final class GossipQueue<K, V> {
  private static final int MAX_PENDING = 128;

  private record Pending<V>(V item, int sent) {}

  private final LinkedHashMap<K, Pending<V>> pending = new LinkedHashMap<>();

  /** Adds an item at the head of the queue. */
  void offer(K key, V item) {
    pending.putFirst(key, new Pending<>(item, 0));
    if (pending.size() > MAX_PENDING) {
      pending.pollLastEntry();
    }
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /**
   * Returns the items for one message and counts them as sent.
   *
   * @param max the maximum number of items
   * @param transmissions the total number of times an item is sent
   */
  List<V> take(int max, int transmissions) {
    List<V> taken = new ArrayList<>();
    List<Map.Entry<K, Pending<V>>> unfinished = new ArrayList<>();
    Iterator<Map.Entry<K, Pending<V>>> entries = pending.entrySet().iterator();
    while (taken.size() < max && entries.hasNext()) {
      Map.Entry<K, Pending<V>> entry = entries.next();
      Pending<V> next = new Pending<>(entry.getValue().item(), entry.getValue().sent() + 1);
      taken.add(next.item());
      if (next.sent() < transmissions) {
        unfinished.add(Map.entry(entry.getKey(), next));
      }
      entries.remove();
    }
    unfinished.forEach(entry -> pending.put(entry.getKey(), entry.getValue()));
    return taken;
  }
}
