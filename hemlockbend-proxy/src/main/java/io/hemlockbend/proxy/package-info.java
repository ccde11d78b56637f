/** The traffic path of a node. */
package io.hemlockbend.proxy;
