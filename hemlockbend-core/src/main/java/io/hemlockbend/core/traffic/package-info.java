/** The routes, services and limits that callers' requests are handled by. */
package io.hemlockbend.core.traffic;
