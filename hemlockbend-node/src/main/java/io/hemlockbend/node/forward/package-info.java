/** Carries requests over one hop and tells whole, streamed, refused and broken answers apart. */
package io.hemlockbend.node.forward;
