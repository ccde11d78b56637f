/** A stand-in for the platform's table service and object store, in process or over HTTP. */
package io.hemlockbend.testkit.platform;
