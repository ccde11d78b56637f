/** The settings of a node, their formats and their validation. */
package io.hemlockbend.node.settings;
