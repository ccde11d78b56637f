/** A small blocking HTTP server that the stand-ins share. */
package io.hemlockbend.testkit.http;
