package io.hemlockbend.node.admin;

import org.eclipse.jetty.util.Fields;

/**
 * The input of a command.
 *
 * @param body the request body, empty when there is none
 * @param query the parameters of the query string
 */
record CommandInput(byte[] body, Fields query) {}
