/** Carries commits out against the platform, for operators and for the rollout controller. */
package io.hemlockbend.node.commit;
