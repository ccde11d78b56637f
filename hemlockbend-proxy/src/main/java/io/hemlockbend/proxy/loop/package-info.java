/**
 * One thread that serves all connections and timers of a process, on Jetty's selector and end
 * points.
 */
package io.hemlockbend.proxy.loop;
