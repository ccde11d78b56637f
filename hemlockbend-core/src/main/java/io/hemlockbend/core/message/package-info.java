/** The control messages between nodes. */
package io.hemlockbend.core.message;
