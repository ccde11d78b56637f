package io.hemlockbend.testkit.rollout;

/**
 * The result of a modelled move.
 *
 * @param finishedMillis the time from the start to the finish of the move, or -1 if not finished
 * @param takenBackMillis the time from the start until the version was taken back, or -1 if it was
 *     not
 * @param exposureMillis the time from the first affected call to the last call to the new version,
 *     or -1 if no call was affected
 * @param freshCalls the calls to the new version since the first affected one
 * @param harmedCalls the calls to the new version that its defect affected
 * @param calls all calls since the start of the move
 */
record MoveResult(
    long finishedMillis,
    long takenBackMillis,
    long exposureMillis,
    long freshCalls,
    long harmedCalls,
    long calls) {}
