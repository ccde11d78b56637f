package io.hemlockbend.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * News to piggyback on messages: each item goes out a bounded number of times, the freshest first.
 * When there is more than fits, as after the start of a herd, what was sent already goes; the
 * comparison of views mends what that loses.
 *
 * @param <K> what identifies an item; a newer item replaces the one of the same key
 * @param <V> the item
 */
final class GossipQueue<K, V> {
  private static final int PENDING_ITEMS = 128;

  private record Pending<V>(V item, int sent) {}

  private final LinkedHashMap<K, Pending<V>> pending = new LinkedHashMap<>();

  /** Adds an item, before all others. */
  void offer(K key, V item) {
    pending.putFirst(key, new Pending<>(item, 0));
    if (pending.size() > PENDING_ITEMS) {
      pending.pollLastEntry();
    }
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /**
   * Returns the items for one message and counts them as sent.
   *
   * @param max how many at most
   * @param transmissions how often an item is sent in all
   */
  List<V> take(int max, int transmissions) {
    List<V> taken = new ArrayList<>();
    List<Map.Entry<K, Pending<V>>> again = new ArrayList<>();
    Iterator<Map.Entry<K, Pending<V>>> entries = pending.entrySet().iterator();
    while (taken.size() < max && entries.hasNext()) {
      Map.Entry<K, Pending<V>> entry = entries.next();
      Pending<V> next = new Pending<>(entry.getValue().item(), entry.getValue().sent() + 1);
      taken.add(next.item());
      if (next.sent() < transmissions) {
        again.add(Map.entry(entry.getKey(), next));
      }
      entries.remove();
    }
    again.forEach(entry -> pending.put(entry.getKey(), entry.getValue()));
    return taken;
  }
}
