package io.hemlockbend.core.withdrawal;

import io.hemlockbend.core.api.FailureDomain;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Distribution of the calls of a service that keeps each domain within its usable capacity.
 *
 * @param weights the fraction of calls for each domain, with a sum of one; empty without any
 *     capacity
 * @param shedShare the fraction of calls that the entries should refuse, the least urgent first
 */
public record CapacityPlan(SortedMap<FailureDomain, Double> weights, double shedShare) {

  /** Copies the weights. */
  public CapacityPlan {
    weights = Collections.unmodifiableSortedMap(new TreeMap<>(weights));
  }
}
