/**
 * Decides beside each upstream which requests it takes now, later or not at all. A refusal of this
 * package is made before a byte went to the upstream, so that "not run" is true of it.
 */
package io.hemlockbend.core.admission;
