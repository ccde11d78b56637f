package io.hemlockbend.core.rollout;

import io.hemlockbend.core.api.VersionKey;
import io.hemlockbend.core.evidence.Stratum;
import java.util.List;

/**
 * A finished move that is watched for late badness.
 *
 * @param from the predecessor, to which the traffic would go back
 * @param to the version that has all traffic
 * @param untilMillis when the watch ends, milliseconds since the epoch
 * @param baseline the calls of both versions in the last minutes of the move
 */
record Soak(VersionKey from, VersionKey to, long untilMillis, List<Stratum> baseline) {}
