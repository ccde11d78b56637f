/** Shared types of all packages: ids, members, endpoints, the clock. */
package io.hemlockbend.core.api;
