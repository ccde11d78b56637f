/**
 * Admission control at the node beside each upstream: which requests run now, later or not at all.
 * Requests are refused before any byte is sent to the upstream, so that "not run" holds for them.
 */
package io.hemlockbend.core.admission;
