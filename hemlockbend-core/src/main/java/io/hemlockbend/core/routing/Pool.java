package io.hemlockbend.core.routing;

import io.hemlockbend.core.api.FailureDomain;
import java.util.List;

/**
 * The candidates of one version.
 *
 * @param all the candidates in all failure domains
 * @param local the candidates in the failure domain of this node
 */
record Pool(List<Candidate> all, List<Candidate> local) {
  static final Pool NONE = new Pool(List.of(), List.of());

  static Pool of(List<Candidate> candidates, FailureDomain own) {
    List<Candidate> local = candidates.stream().filter(c -> c.domain().equals(own)).toList();
    return new Pool(List.copyOf(candidates), local);
  }
}
