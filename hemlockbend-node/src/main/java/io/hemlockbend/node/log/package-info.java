/** Logs each decision as a JSON line and keeps the latest ones for the explain command. */
package io.hemlockbend.node.log;
