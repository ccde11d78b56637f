/** Reads a node's settings from flags and environment variables and validates them as one. */
package io.hemlockbend.node.settings;
