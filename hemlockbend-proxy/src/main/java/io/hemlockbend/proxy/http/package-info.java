/**
 * HTTP/1.1 connections with callers and upstreams on the event loop, with Jetty's parser. Requests
 * and answers are buffered and passed on once they are complete.
 */
package io.hemlockbend.proxy.http;
