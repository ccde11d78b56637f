package io.hemlockbend.core.model;

import io.hemlockbend.core.api.ServiceName;
import io.hemlockbend.core.api.TeamName;
import io.hemlockbend.core.api.VersionName;

/**
 * A service, its owner and its active version.
 *
 * @param name the service's name
 * @param owner the team whose operators may change it
 * @param active the version that receives all traffic, less the share of a move in progress
 */
public record Service(ServiceName name, TeamName owner, VersionName active) {}
