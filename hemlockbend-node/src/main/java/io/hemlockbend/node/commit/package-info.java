/** Executes commits of operators and of the rollout controller against the platform. */
package io.hemlockbend.node.commit;
