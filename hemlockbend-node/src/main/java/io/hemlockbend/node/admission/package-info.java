/** Admits requests to the upstream beside this node, and reports those that did not run. */
package io.hemlockbend.node.admission;
