package io.hemlockbend.node.admin;

import io.hemlockbend.core.acceptance.Author;

/**
 * Who sends a command.
 *
 * @param author the name, team and reach of the operator
 * @param role what the operator may do
 */
public record Operator(Author author, Role role) {}
