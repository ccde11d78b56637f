/** The configuration and its changes. */
package io.hemlockbend.core.model;
