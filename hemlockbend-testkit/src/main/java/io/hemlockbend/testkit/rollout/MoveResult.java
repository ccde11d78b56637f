package io.hemlockbend.testkit.rollout;

/**
 * What became of a modelled move.
 *
 * @param finishedMillis how long after its start the move was finished, or -1
 * @param takenBackMillis how long after its start the version was taken back, or -1
 * @param noneMillis time from the first bad call to the last call of the version, or -1 without any
 * @param freshCalls the calls of the new version from the first bad one on
 * @param harmedCalls those of them that met the badness
 * @param calls all calls of the move's time
 */
record MoveResult(
    long finishedMillis,
    long takenBackMillis,
    long noneMillis,
    long freshCalls,
    long harmedCalls,
    long calls) {}
