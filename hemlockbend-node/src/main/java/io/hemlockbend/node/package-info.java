/** Package of hemlockbend-node. */
package io.hemlockbend.node;
