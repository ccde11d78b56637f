/** A stand-in upstream: announces itself, starts cold, drains, misbehaves when told to. */
package io.hemlockbend.testkit.upstream;
