package io.hemlockbend.core.acceptance;

import io.hemlockbend.core.api.TeamName;

/**
 * Who commits.
 *
 * @param name the operator's name, or the rollout controller's; also names the staged row
 * @param team the operator's team
 * @param ownsAll whether all services and failure domains may be changed
 */
public record Author(String name, TeamName team, boolean ownsAll) {}
