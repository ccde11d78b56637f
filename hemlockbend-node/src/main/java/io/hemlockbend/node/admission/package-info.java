/** Lets requests through to the upstream beside this node, and tells truly when it did not. */
package io.hemlockbend.node.admission;
