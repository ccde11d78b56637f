/** Flow control of large bodies and memory limits of incomplete messages. */
package io.hemlockbend.core.transfer;
