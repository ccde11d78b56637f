/**
 * Clients of the platform's table service and object store over HTTP and JSON. All calls are
 * asynchronous; their futures complete on threads of the HTTP client and fail with {@link
 * io.hemlockbend.platform.PlatformException} only.
 */
package io.hemlockbend.platform;
