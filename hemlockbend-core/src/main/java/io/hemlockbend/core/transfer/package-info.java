/** Which large bodies come in over an instance's link, and when. */
package io.hemlockbend.core.transfer;
