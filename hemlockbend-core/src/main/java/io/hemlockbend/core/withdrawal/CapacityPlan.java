package io.hemlockbend.core.withdrawal;

import io.hemlockbend.core.api.FailureDomain;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * How the calls of a service are to be spread, so that no domain gets more than it bears.
 *
 * @param weights the part of the calls of each domain, adding up to one; empty without any capacity
 * @param shedShare the part of the calls that the entries should refuse, the least urgent first
 */
public record CapacityPlan(SortedMap<FailureDomain, Double> weights, double shedShare) {

  /** Copies the weights. */
  public CapacityPlan {
    weights = Collections.unmodifiableSortedMap(new TreeMap<>(weights));
  }
}
