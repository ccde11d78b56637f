package io.hemlockbend.core.claim;

import io.hemlockbend.core.api.IdempotencyKey;
import io.hemlockbend.core.api.UpstreamId;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Orders upstreams for a key by rendezvous hashing (Thaler and Ravishankar, 1998), so that resends
 * reach the ledger that processed the first send. This only improves the responses to resends:
 * safety depends on the claim row alone, so nodes may disagree on the order.
 */
public final class ClaimPlacement {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private ClaimPlacement() {}

  /** Returns the upstreams in order of preference. */
  public static List<UpstreamId> order(IdempotencyKey key, Collection<UpstreamId> upstreams) {
    Comparator<UpstreamId> byWeight =
        Comparator.comparingLong(upstream -> weight(key.value(), upstream.value()));
    return upstreams.stream().sorted(byWeight.reversed().thenComparing(u -> u)).toList();
  }

  private static long weight(String key, String upstream) {
    long hash = FNV_OFFSET;
    for (String text : List.of(key, "/", upstream)) {
      for (int i = 0; i < text.length(); i++) {
        hash = (hash ^ text.charAt(i)) * FNV_PRIME;
      }
    }
    return mix(hash);
  }

  /** Mixes the bits with the finalizer of MurmurHash3. */
  private static long mix(long hash) {
    long mixed = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ mixed >>> 33;
  }
}
