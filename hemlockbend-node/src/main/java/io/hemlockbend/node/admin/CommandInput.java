package io.hemlockbend.node.admin;

import org.eclipse.jetty.util.Fields;

/**
 * What a request carries.
 *
 * @param body its body, empty when there is none
 * @param query the parameters of its query
 */
record CommandInput(byte[] body, Fields query) {}
