/**
 * Brakes: versions that must take no traffic, known without the platform. Any node with evidence
 * enough sets one; they merge by union and never loosen by merging.
 */
package io.hemlockbend.core.brake;
