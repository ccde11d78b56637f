package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.evidence.Stratum;
import java.util.List;

/**
 * A finished move whose version is still observed for late failures.
 *
 * @param from the predecessor, which would get the traffic back
 * @param to the version that has all traffic
 * @param untilMillis when the observation ends, milliseconds since the epoch
 * @param baseline the calls of both versions in the last minutes of the move
 */
record Soak(VersionKey from, VersionKey to, long untilMillis, List<Stratum> baseline) {}
