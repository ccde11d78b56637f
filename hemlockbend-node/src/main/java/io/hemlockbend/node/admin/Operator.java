package io.hemlockbend.node.admin;

import io.hemlockbend.core.acceptance.Author;

/**
 * An authenticated sender of commands.
 *
 * @param author the name, team and ownership of the operator
 * @param role what the operator may do
 */
public record Operator(Author author, Role role) {}
