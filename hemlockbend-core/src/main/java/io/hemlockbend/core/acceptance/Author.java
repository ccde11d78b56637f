package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.TeamName;

/**
 * The author of a commit.
 *
 * @param name the name of the operator or of the rollout controller; also part of the key of the
 *     staged row
 * @param team the operator's team
 * @param ownsAll whether the author may change all services and failure domains
 */
public record Author(String name, TeamName team, boolean ownsAll) {}
