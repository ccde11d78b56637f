/** The data plane of a node. */
package io.hemlockbend.proxy;
