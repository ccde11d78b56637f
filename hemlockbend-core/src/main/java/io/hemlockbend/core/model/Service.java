package io.hemlockbend.core.model;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionName;

/**
 * A service, its owner and the version that takes its traffic outside moves.
 *
 * @param name the service's name
 * @param owner the team whose operators may change it
 * @param active the version that takes all traffic, or what a move does not take
 */
public record Service(ServiceName name, TeamName owner, VersionName active) {}
