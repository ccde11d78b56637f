/** Tracking of the drain of an upstream or node until its last request has ended. */
package io.hemlockbend.core.drain;
