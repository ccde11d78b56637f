/** Sends requests over one hop and classifies the results: buffered, streamed, refused, broken. */
package io.hemlockbend.node.forward;
